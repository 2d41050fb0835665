/** @file admin_service.cpp The gRPC service of lhub-admin: reads the configuration, checks a change, writes it. */
#include "admin/command_func.h"
#include "config/config_func.h"
#include "shell/admin_shell.h"
#include "shell/rpc_convert.h"
#include <boost/asio/post.hpp>

namespace lhub {

namespace {

    using reactor = grpc::ServerUnaryReactor;
    using server_context = grpc::CallbackServerContext;

    /** The configuration that the store holds now. */
    struct current_config {
        config_state state; ///< Objects as stored.
        config_view view; ///< Objects parsed.
    };

    /** Checks a change against the current configuration and returns the command that writes it, with its faults. */
    using check_function = std::function<change_command(const config_view&)>;

} // namespace

/** Reads the whole configuration. @p done gets null and the reason when the read failed. */
static void readConfig(
    admin_shell& shell, std::function<void(const current_config*, const std::string& reason)> done)
{
    store_request request;
    request.operation = store_operation::Watch;
    request.key = StorePrefix;
    shell.store->call(request, [done = std::move(done)](store_reply reply) {
        if (reply.result != store_result::Done) {
            done(nullptr, reply.reason);
            return;
        }
        stripPrefix(reply.objects);
        current_config current;
        current.state.revision = reply.revision;
        for (const auto& item : reply.objects) {
            mergeObject(current.state, item.key, item.object);
            applyObject(current.view, item.key, item.object);
        }
        done(&current, {});
    });
}

/** Checks and executes one change. */
static void runChange(admin_shell& shell, const check_function& check, rpc::ChangeReply* reply, reactor* call)
{
    readConfig(shell, [&shell, check, reply, call](const current_config* current, const std::string& reason) {
        if (!current) {
            reply->set_result(rpc::CHANGE_UNKNOWN);
            reply->set_reason("nothing written: the store did not answer: " + reason);
            call->Finish(grpc::Status::OK);
            return;
        }
        const auto command = check(current->view);
        const auto found = current->state.objects.find(command.key);
        const auto object = found == current->state.objects.end() ? config_object {} : found->second;
        executeChange(*shell.store, command, object, [reply, call, key = command.key](const change_reply& result) {
            *reply = toMessage(key, result);
            call->Finish(grpc::Status::OK);
        });
    });
}

namespace {

    /** Each method but List makes one kind of change. */
    struct admin_service final : rpc::Admin::CallbackService {
        explicit admin_service(admin_shell& shell)
            : shell(shell)
        {
        }

        reactor* change(server_context* context, rpc::ChangeReply* reply, check_function check)
        {
            auto* call = context->DefaultReactor();
            boost::asio::post(
                shell.context, [this, reply, call, check = std::move(check)] { runChange(shell, check, reply, call); });
            return call;
        }

        reactor* PutService(server_context* context, const rpc::PutServiceRequest* request,
            rpc::ChangeReply* reply) override
        {
            return change(context, reply, [request](const config_view& view) {
                return testService(view, fromMessage(request->service()), fromMessage(request->meta()));
            });
        }

        reactor* PutPlace(
            server_context* context, const rpc::PutPlaceRequest* request, rpc::ChangeReply* reply) override
        {
            return change(context, reply, [request](const config_view& view) {
                return testPlace(view, fromMessage(request->place()), fromMessage(request->meta()));
            });
        }

        reactor* PutEndpoint(server_context* context, const rpc::PutEndpointRequest* request,
            rpc::ChangeReply* reply) override
        {
            return change(context, reply, [request](const config_view& view) {
                return testEndpoint(view, fromMessage(request->endpoint()), fromMessage(request->meta()));
            });
        }

        reactor* PutShift(
            server_context* context, const rpc::PutShiftRequest* request, rpc::ChangeReply* reply) override
        {
            return change(context, reply, [request](const config_view& view) {
                return testShift(view, fromMessage(request->shift()), fromMessage(request->meta()));
            });
        }

        reactor* PutDrain(
            server_context* context, const rpc::PutDrainRequest* request, rpc::ChangeReply* reply) override
        {
            return change(context, reply, [request](const config_view& view) {
                return testDrain(view, fromMessage(request->drain()), fromMessage(request->meta()));
            });
        }

        reactor* Remove(
            server_context* context, const rpc::RemoveRequest* request, rpc::ChangeReply* reply) override
        {
            return change(context, reply, [request](const config_view& view) {
                return testRemove(view, request->key(), fromMessage(request->meta()));
            });
        }

        reactor* List(server_context* context, const rpc::ListRequest* request, rpc::ListReply* reply) override
        {
            auto* call = context->DefaultReactor();
            boost::asio::post(shell.context, [this, request, reply, call] {
                readConfig(shell, [request, reply, call](const current_config* current, const std::string& reason) {
                    if (!current) {
                        call->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "store: " + reason));
                        return;
                    }
                    reply->set_revision(current->state.revision);
                    for (const auto& [key, object] : current->state.objects) {
                        if (!object.deleted && key.rfind(request->prefix(), 0) == 0)
                            *reply->add_objects() = toMessage(keyed_object { key, object });
                    }
                    call->Finish(grpc::Status::OK);
                });
            });
            return call;
        }

        admin_shell& shell; ///< State of the process.
    };

} // namespace

std::unique_ptr<rpc::Admin::CallbackService> makeAdminService(admin_shell& shell)
{
    return std::make_unique<admin_service>(shell);
}

} // namespace lhub
