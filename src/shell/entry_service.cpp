/** @file entry_service.cpp The gRPC service of lhub-entry towards other entry VMs. */
#include "shell/encode.h"
#include "shell/entry_shell.h"

namespace lhub {

namespace {

    using reactor = grpc::ServerUnaryReactor;
    using server_context = grpc::CallbackServerContext;

    template <typename Message>
    void encodeRow(const reservation_row& row, Message* message)
    {
        message->set_id(row.id);
        message->set_endpoint(row.endpoint);
        message->set_vm(row.vm);
        message->set_left_ms(static_cast<std::uint32_t>(row.left.count()));
    }

    /** Every call is handed to the thread of the context and answered from there. */
    struct peer_service final : rpc::Peer::CallbackService {
        explicit peer_service(entry_shell& shell)
            : shell(shell)
        {
        }

        /** Runs @p step on the thread of the context, then ends the call unless @p step keeps it open. */
        template <typename Step>
        reactor* onContext(server_context* context, Step step)
        {
            auto* call = context->DefaultReactor();
            asio::post(shell.context, [step = std::move(step), call] { step(call); });
            return call;
        }

        /** Keeps a call open until the reducer answers it with an @p Effect. */
        template <typename Effect, typename Answer>
        std::uint64_t keepCall(reactor* call, Answer answer)
        {
            const auto id = RemoteCallBit | ++shell.lastId;
            shell.calls[id] = [call, answer](const entry_effect& effect) {
                answer(std::get<Effect>(effect));
                call->Finish(grpc::Status::OK);
            };
            return id;
        }

        reactor* Heartbeat(
            server_context* context, const rpc::HeartbeatRequest* request, rpc::HeartbeatReply* reply) override
        {
            return onContext(context, [this, request, reply](reactor* call) {
                heartbeat_arrived event { decodeSelf(*request) };
                event.said.address = request->address();
                feedEvent(shell, std::move(event));
                encodeSelf(shell.state, *reply);
                call->Finish(grpc::Status::OK);
            });
        }

        reactor* Acquire(
            server_context* context, const rpc::AcquireRequest* request, rpc::AcquireReply* reply) override
        {
            return onContext(context, [this, request, reply](reactor* call) {
                const auto id = keepCall<reply_acquire>(call, [reply](const reply_acquire& effect) {
                    reply->set_result(static_cast<rpc::AcquireResult>(effect.answer.result));
                    reply->set_endpoint(effect.answer.endpoint);
                    reply->set_address(effect.answer.address);
                    reply->set_reservation(effect.answer.reservation);
                    reply->set_reason(effect.answer.reason);
                });
                acquire_arrived event { request->service(), {} };
                event.request = { id, request->request_id(), request->vm(),
                    shell.clock.now() + milliseconds(request->deadline_ms()), request->weight(),
                    { request->avoid().begin(), request->avoid().end() }, request->source_zone(),
                    request->may_move() };
                feedEvent(shell, std::move(event));
            });
        }

        reactor* Release(server_context* context, const rpc::ReleaseRequest* request, rpc::ReleaseReply*) override
        {
            return onContext(context, [this, request](reactor* call) {
                feedEvent(shell,
                    release_arrived { request->service(), request->vm(), request->reservation(), request->endpoint(),
                        static_cast<dispatch_outcome>(request->outcome()), request->endpoint_leaving() });
                call->Finish(grpc::Status::OK);
            });
        }

        reactor* TakeOver(
            server_context* context, const rpc::TakeOverRequest* request, rpc::TakeOverReply* reply) override
        {
            return onContext(context, [this, request, reply](reactor* call) {
                const auto id = keepCall<reply_take_over>(call, [reply](const reply_take_over& effect) {
                    reply->set_handed_over(effect.handedOver);
                    reply->set_epoch(effect.epoch);
                    for (const auto& row : effect.reservations)
                        encodeRow(row, reply->add_reservations());
                });
                feedEvent(shell, take_over_arrived { id, request->service(), request->vm() });
            });
        }

        reactor* Held(server_context* context, const rpc::HeldRequest* request, rpc::HeldReply* reply) override
        {
            return onContext(context, [this, request, reply](reactor* call) {
                const auto id = keepCall<reply_held>(call, [reply](const reply_held& effect) {
                    for (const auto& row : effect.reservations)
                        encodeRow(row, reply->add_reservations());
                });
                feedEvent(shell, held_arrived { id, request->service() });
            });
        }

        reactor* Credit(server_context* context, const rpc::CreditRequest* request, rpc::CreditReply* reply) override
        {
            return onContext(context, [this, request, reply](reactor* call) {
                const auto id = keepCall<reply_credit>(call, [reply](const reply_credit& effect) {
                    reply->set_owner(effect.owner);
                    reply->set_granted(effect.granted);
                    reply->set_valid_ms(static_cast<std::uint32_t>(effect.valid.count()));
                });
                feedEvent(shell,
                    credit_arrived { id, request->service(), request->source_zone(), request->wanted() });
            });
        }

        reactor* Lend(server_context* context, const rpc::LendRequest* request, rpc::LendReply* reply) override
        {
            return onContext(context, [this, request, reply](reactor* call) {
                const auto id = keepCall<reply_lend>(call, [reply](const reply_lend& effect) {
                    reply->set_owner(effect.owner);
                    reply->set_granted(effect.granted);
                    reply->set_valid_ms(static_cast<std::uint32_t>(effect.valid.count()));
                });
                feedEvent(shell,
                    lend_arrived { id, request->service(), request->shift(), request->zone(), request->wanted(),
                        request->cap_per_second() });
            });
        }

        reactor* ClaimKey(
            server_context* context, const rpc::ClaimKeyRequest* request, rpc::ClaimKeyReply* reply) override
        {
            return onContext(context, [this, request, reply](reactor* call) {
                const auto id = keepCall<reply_key_claim>(call, [reply](const reply_key_claim& effect) {
                    reply->set_result(static_cast<rpc::ClaimResult>(effect.result));
                    reply->set_verdict(static_cast<std::uint32_t>(effect.known));
                });
                feedEvent(shell, key_claim_arrived { id, request->key(), request->request_id() });
            });
        }

        reactor* SettleKey(server_context* context, const rpc::SettleKeyRequest* request, rpc::SettleKeyReply*) override
        {
            return onContext(context, [this, request](reactor* call) {
                feedEvent(shell,
                    key_settled { request->key(), request->request_id(), static_cast<verdict>(request->verdict()) });
                call->Finish(grpc::Status::OK);
            });
        }

        entry_shell& shell; ///< The process.
    };

} // namespace

std::unique_ptr<rpc::Peer::CallbackService> makePeerService(entry_shell& shell)
{
    return std::make_unique<peer_service>(shell);
}

} // namespace lhub
