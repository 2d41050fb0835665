/** @file rpc_func.h gRPC channels, calls and servers; results of calls are handed to an Asio executor. */
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

/** Channels that are kept open. Not thread safe. */
struct rpc_channels {
    std::map<std::string, std::shared_ptr<grpc::Channel>> byAddress; ///< By "IP:port".
};

/** The channel to @p address; made at the first use. It reconnects by itself. */
std::shared_ptr<grpc::Channel> channelTo(rpc_channels& channels, const std::string& address);

/** Whether the connection was refused: nothing listens at the address. Thread safe. */
bool isRefused(const grpc::Status& status);

/** Starts a server of @p service at @p address; null when it cannot listen there. */
std::unique_ptr<grpc::Server> startRpcServer(const std::string& address, grpc::Service& service);

/** Data that must stay valid until the call ends. */
template <typename Request, typename Reply>
struct rpc_call {
    grpc::ClientContext context; ///< Holds the deadline of the call.
    Request request;
    Reply reply; ///< Valid once the call ended with status OK.
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

/** Removes a pending call from @p calls and returns its reply function; an empty function when there is none. */
template <typename Calls>
typename Calls::mapped_type takePendingCall(Calls& calls, std::uint64_t id)
{
    const auto found = calls.find(id);
    if (found == calls.end())
        return {};
    auto sendReply = std::move(found->second);
    calls.erase(found);
    return sendReply;
}

} // namespace lhub
