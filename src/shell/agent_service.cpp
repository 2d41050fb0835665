/** @file agent_service.cpp The gRPC service of lhub-agent. */
#include "key_claim/key_claim_func.h"
#include "shell/agent_shell.h"

namespace lhub {

namespace {

    using reactor = grpc::ServerUnaryReactor;
    using server_context = grpc::CallbackServerContext;

    /** Each call is handled on the thread of the context. */
    struct agent_service final : rpc::Agent::CallbackService {
        explicit agent_service(agent_shell& shell)
            : shell(shell)
        {
        }

        reactor* Fetch(server_context* context, const rpc::FetchRequest* request, rpc::FetchReply* reply) override
        {
            auto* call = context->DefaultReactor();
            boost::asio::post(shell.context, [this, request, reply, call] {
                const auto id = ++shell.lastId;
                shell.pendingFetches[id] = [reply, call](const reply_fetch& effect) {
                    encodeFetch(effect, *reply);
                    call->Finish(grpc::Status::OK);
                };
                processAgentEvent(shell,
                    fetch_arrived { id, request->since(), milliseconds(request->wait_ms()), request->from_entry(),
                        request->entry_leaving(), { request->gone().begin(), request->gone().end() } });
            });
            return call;
        }

        reactor* Claim(server_context* context, const rpc::ClaimRequest* request, rpc::ClaimReply* reply) override
        {
            auto* call = context->DefaultReactor();
            boost::asio::post(shell.context, [this, request, reply, call] {
                claimInStore(*shell.store, request->service(), request->key(), request->request_id(),
                    [reply, call](const claim_reply& claim) {
                        reply->set_result(static_cast<rpc::ClaimResult>(claim.result));
                        reply->set_version(claim.version);
                        reply->set_holder(claim.holder);
                        call->Finish(grpc::Status::OK);
                    });
            });
            return call;
        }

        reactor* Unclaim(server_context* context, const rpc::UnclaimRequest* request, rpc::UnclaimReply*) override
        {
            auto* call = context->DefaultReactor();
            boost::asio::post(shell.context, [this, request, call] {
                shell.store->call(makeUnclaim(request->service(), request->key(), request->version()),
                    [call](const store_reply&) { call->Finish(grpc::Status::OK); });
            });
            return call;
        }

        static void encodeFetch(const reply_fetch& effect, rpc::FetchReply& reply)
        {
            reply.set_revision(effect.revision);
            reply.set_age_ms(static_cast<std::uint64_t>(effect.age.count()));
            for (const auto& item : effect.objects) {
                auto* object = reply.add_objects();
                object->set_key(item.key);
                object->set_version(item.object.version);
                object->set_deleted(item.object.deleted);
                object->set_value(item.object.value);
            }
        }

        agent_shell& shell; ///< State of the process.
    };

} // namespace

std::unique_ptr<rpc::Agent::CallbackService> makeAgentService(agent_shell& shell)
{
    return std::make_unique<agent_service>(shell);
}

} // namespace lhub
