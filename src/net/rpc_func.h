/** @file rpc_func.h gRPC calls and servers joined to an Asio executor. */
#pragma once

#include "core/time_type.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <string>

namespace lhub {

/** Open channels by address. Used on one executor only. */
struct rpc_channels {
    std::map<std::string, std::shared_ptr<grpc::Channel>> byAddress; ///< Reused by later calls.
};

/** The channel to @p address; opened on first use, reconnects by itself. */
std::shared_ptr<grpc::Channel> channelTo(rpc_channels& channels, const std::string& address);

/** Whether the status proves that nobody listens at the address. Thread safe. */
bool isRefused(const grpc::Status& status);

/** Builds and starts a server at @p address for @p service; null when it cannot listen. */
std::unique_ptr<grpc::Server> startRpcServer(const std::string& address, grpc::Service& service);

/** What one call needs to stay alive until it ends. */
template <typename Request, typename Reply>
struct rpc_call {
    grpc::ClientContext context; ///< Deadline of the call.
    Request request; ///< What is asked.
    Reply reply; ///< What came back.
};

/**
 * Starts a unary call. @p done runs exactly once on @p executor.
 * @param start calls the stub's asynchronous method, as in `stub->async()->Method(a, b, c, d)`.
 */
template <typename Request, typename Reply, typename Start>
void callRpc(const boost::asio::any_io_executor& executor, Request request, milliseconds timeout, Start start,
    std::function<void(const grpc::Status&, const Reply&)> done)
{
    auto call = std::make_shared<rpc_call<Request, Reply>>();
    call->request = std::move(request);
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    start(&call->context, &call->request, &call->reply,
        [executor, call, done = std::move(done)](const grpc::Status& status) {
            boost::asio::post(executor, [call, done, status] { done(status, call->reply); });
        });
}

/** Takes an open call out of @p calls and returns its answer function; an empty one when it is not there. */
template <typename Calls>
typename Calls::mapped_type takeCall(Calls& calls, std::uint64_t id)
{
    const auto found = calls.find(id);
    if (found == calls.end())
        return {};
    auto answer = std::move(found->second);
    calls.erase(found);
    return answer;
}

} // namespace lhub
