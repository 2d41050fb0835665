/** @file rpc.cpp gRPC channels and servers. */
#include "net/rpc_func.h"

namespace lhub {

constexpr int InitialReconnectMs = 50;
constexpr int MaxReconnectMs = 500;
constexpr int ConnectTimeoutMs = 2000; // several round trips between the regions that are farthest apart

std::shared_ptr<grpc::Channel> channelTo(rpc_channels& channels, const std::string& address)
{
    auto& channel = channels.byAddress[address];
    if (channel)
        return channel;
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, InitialReconnectMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ConnectTimeoutMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
    return channel;
}

bool isRefused(const grpc::Status& status)
{
    return status.error_code() == grpc::StatusCode::UNAVAILABLE
        && status.error_message().find("Connection refused") != std::string::npos;
}

std::unique_ptr<grpc::Server> startRpcServer(const std::string& address, grpc::Service& service)
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    auto server = builder.BuildAndStart();
    return port == 0 ? nullptr : std::move(server);
}

} // namespace lhub
