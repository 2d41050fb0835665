/** @file soak_path.cpp Loopback proxies of a soak, which delay, withhold or reset connections. */
#include "soak/soak_world.h"

namespace lhub::soak {

using error_code = boost::system::error_code;
using socket_pointer = std::shared_ptr<tcp::socket>;

static constexpr milliseconds SilencePollInterval { 20 }; ///< Between two checks whether silence is over; also the pause after a failed accept.

/**
 * Relays bytes one way until either end closes.
 * @param number how many connections the proxy had accepted before this one.
 * @param toServer the direction.
 */
static asio::awaitable<void> relayBytes(std::shared_ptr<loopback_proxy> proxy, socket_pointer from, socket_pointer to, std::uint64_t number, bool toServer)
{
    std::array<char, 16'384> bytes;
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    while (!error) {
        const auto size = co_await from->async_read_some(asio::buffer(bytes), token);
        if (error)
            break;
        const auto isSilent = [&] { return (toServer ? proxy->faults.silentToServer : proxy->faults.silentToClient) && number < proxy->faults.silentBelow; };
        if (proxy->faults.delay.count() > 0)
            co_await sleepFor(proxy->faults.delay);
        while (isSilent() && from->is_open() && to->is_open())
            co_await sleepFor(SilencePollInterval);
        co_await asio::async_write(*to, asio::buffer(bytes.data(), size), token);
    }
    error_code ignored; // Either end may be closed already.
    if (error == asio::error::eof)
        to->shutdown(tcp::socket::shutdown_send, ignored);
    else
        to->close(ignored);
}

/** Connects to the server and relays both ways. */
static asio::awaitable<void> relayConnection(soak_state& state, std::shared_ptr<loopback_proxy> proxy, socket_pointer client)
{
    const auto number = proxy->connections++;
    const auto server = std::make_shared<tcp::socket>(state.context);
    error_code error;
    co_await server->async_connect(proxy->server, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    proxy->sockets.push_back(client);
    proxy->sockets.push_back(server);
    proxy->sockets.remove_if([](const auto& weak) { return weak.expired(); });
    asio::co_spawn(state.context, relayBytes(proxy, client, server, number, true), asio::detached);
    asio::co_spawn(state.context, relayBytes(proxy, server, client, number, false), asio::detached);
}

static asio::awaitable<void> acceptConnections(soak_state& state, std::shared_ptr<loopback_proxy> proxy)
{
    error_code error;
    while (proxy->acceptor->is_open()) {
        auto socket = co_await proxy->acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            asio::co_spawn(state.context, relayConnection(state, proxy, std::make_shared<tcp::socket>(std::move(socket))), asio::detached);
        else if (error != asio::error::operation_aborted)
            co_await sleepFor(SilencePollInterval);
    }
}

std::shared_ptr<loopback_proxy> makeProxy(soak_state& state, const tcp::endpoint& server, const std::string& ip)
{
    auto proxy = std::make_shared<loopback_proxy>();
    proxy->server = server;
    proxy->acceptor = std::make_unique<tcp::acceptor>(state.context, tcp::endpoint(asio::ip::make_address(ip), 0));
    asio::co_spawn(state.context, acceptConnections(state, proxy), asio::detached);
    return proxy;
}

void resetConnections(loopback_proxy& proxy)
{
    for (const auto& weak : proxy.sockets) {
        const auto socket = weak.lock();
        if (!socket || !socket->is_open())
            continue;
        error_code ignored; // Without the option, the close still ends the connection, but without a reset.
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    proxy.sockets.clear();
}

} // namespace lhub::soak
