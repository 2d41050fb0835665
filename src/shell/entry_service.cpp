/** @file entry_service.cpp The gRPC service of lhub-entry for other entry VMs. */
#include "shell/entry_shell.h"
#include "shell/peer_messages.h"

namespace lhub {

namespace {

    using reactor = grpc::ServerUnaryReactor;
    using server_context = grpc::CallbackServerContext;

    template <typename Message>
    void encodeReservation(const reservation_row& row, Message* message)
    {
        message->set_id(row.id);
        message->set_endpoint(row.endpoint);
        message->set_vm(row.vm);
        message->set_left_ms(static_cast<std::uint32_t>(row.left.count()));
    }

    /** Each call is handled on the thread of the context. */
    struct peer_service final : rpc::Peer::CallbackService {
        explicit peer_service(entry_shell& shell)
            : shell(shell)
        {
        }

        /** Runs @p step on the thread of the context. The step finishes the call, or leaves it to addPendingCall(). */
        template <typename Step>
        reactor* runOnContext(server_context* context, Step step)
        {
            auto* call = context->DefaultReactor();
            asio::post(shell.context, [step = std::move(step), call] { step(call); });
            return call;
        }

        /**
         * Keeps a call open until the reducer replies to it with an effect of type Effect; @p fillReply makes the reply
         * from the effect.
         * @return the call id.
         */
        template <typename Effect, typename Fill>
        std::uint64_t addPendingCall(reactor* call, Fill fillReply)
        {
            const auto id = RemoteCallBit | ++shell.lastId;
            shell.pendingCalls[id] = [call, fillReply](const entry_effect& effect) {
                fillReply(std::get<Effect>(effect));
                call->Finish(grpc::Status::OK);
            };
            return id;
        }

        reactor* Heartbeat(
            server_context* context, const rpc::HeartbeatRequest* request, rpc::HeartbeatReply* reply) override
        {
            return runOnContext(context, [this, request, reply](reactor* call) {
                heartbeat_arrived event { decodePeerState(*request) };
                event.said.address = request->address();
                feedEvent(shell, std::move(event));
                encodeOwnState(shell.state, *reply);
                call->Finish(grpc::Status::OK);
            });
        }

        reactor* Acquire(
            server_context* context, const rpc::AcquireRequest* request, rpc::AcquireReply* reply) override
        {
            return runOnContext(context, [this, request, reply](reactor* call) {
                const auto id = addPendingCall<reply_acquire>(call, [reply](const reply_acquire& effect) {
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
            return runOnContext(context, [this, request](reactor* call) {
                feedEvent(shell,
                    release_arrived { request->service(), request->vm(), request->reservation(), request->endpoint(),
                        static_cast<dispatch_outcome>(request->outcome()), request->endpoint_leaving() });
                call->Finish(grpc::Status::OK);
            });
        }

        reactor* TakeOver(
            server_context* context, const rpc::TakeOverRequest* request, rpc::TakeOverReply* reply) override
        {
            return runOnContext(context, [this, request, reply](reactor* call) {
                const auto id = addPendingCall<reply_take_over>(call, [reply](const reply_take_over& effect) {
                    reply->set_handed_over(effect.handedOver);
                    reply->set_epoch(effect.epoch);
                    for (const auto& row : effect.reservations)
                        encodeReservation(row, reply->add_reservations());
                });
                feedEvent(shell, take_over_arrived { id, request->service(), request->vm() });
            });
        }

        reactor* Held(server_context* context, const rpc::HeldRequest* request, rpc::HeldReply* reply) override
        {
            return runOnContext(context, [this, request, reply](reactor* call) {
                const auto id = addPendingCall<reply_held>(call, [reply](const reply_held& effect) {
                    for (const auto& row : effect.reservations)
                        encodeReservation(row, reply->add_reservations());
                });
                feedEvent(shell, held_arrived { id, request->service() });
            });
        }

        reactor* Credit(server_context* context, const rpc::CreditRequest* request, rpc::CreditReply* reply) override
        {
            return runOnContext(context, [this, request, reply](reactor* call) {
                const auto id = addPendingCall<reply_credit>(call, [reply](const reply_credit& effect) {
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
            return runOnContext(context, [this, request, reply](reactor* call) {
                const auto id = addPendingCall<reply_lend>(call, [reply](const reply_lend& effect) {
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
            return runOnContext(context, [this, request, reply](reactor* call) {
                const auto id = addPendingCall<reply_key_claim>(call, [reply](const reply_key_claim& effect) {
                    reply->set_result(static_cast<rpc::ClaimResult>(effect.result));
                    reply->set_verdict(static_cast<std::uint32_t>(effect.known));
                });
                feedEvent(shell, key_claim_arrived { id, request->key(), request->request_id() });
            });
        }

        reactor* SettleKey(server_context* context, const rpc::SettleKeyRequest* request, rpc::SettleKeyReply*) override
        {
            return runOnContext(context, [this, request](reactor* call) {
                feedEvent(shell,
                    key_settled { request->key(), request->request_id(), static_cast<verdict>(request->verdict()) });
                call->Finish(grpc::Status::OK);
            });
        }

        entry_shell& shell; ///< State of the process.
    };

} // namespace

std::unique_ptr<rpc::Peer::CallbackService> makePeerService(entry_shell& shell)
{
    return std::make_unique<peer_service>(shell);
}

} // namespace lhub
