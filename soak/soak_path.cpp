/** @file soak_path.cpp The loopback proxies of a soak. */
#include "soak/soak_world.h"

namespace lhub::soak {

using error_code = boost::system::error_code;
using socket_pointer = std::shared_ptr<tcp::socket>;

static constexpr milliseconds SilenceLook { 20 }; ///< Between two looks whether silence is over.

/** Moves bytes one way until either end closes. */
static asio::awaitable<void> pump(std::shared_ptr<soak_path> path, socket_pointer from, socket_pointer to, std::uint64_t number, bool there)
{
    std::array<char, 16'384> bytes;
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    while (!error) {
        const auto size = co_await from->async_read_some(asio::buffer(bytes), token);
        if (error)
            break;
        const auto isSilent = [&] { return (there ? path->faults.silentThere : path->faults.silentBack) && number < path->faults.connectionsBefore; };
        if (path->faults.delay.count() > 0)
            co_await rest(path->faults.delay);
        while (isSilent() && from->is_open() && to->is_open())
            co_await rest(SilenceLook);
        co_await asio::async_write(*to, asio::buffer(bytes.data(), size), token);
    }
    error_code ignored; // Either end may be closed already.
    if (error == asio::error::eof)
        to->shutdown(tcp::socket::shutdown_send, ignored);
    else
        to->close(ignored);
}

static asio::awaitable<void> carry(soak_world& world, std::shared_ptr<soak_path> path, socket_pointer client)
{
    const auto number = path->connections++;
    const auto server = std::make_shared<tcp::socket>(world.context);
    error_code error;
    co_await server->async_connect(path->server, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    path->open.push_back(client);
    path->open.push_back(server);
    path->open.remove_if([](const auto& weak) { return weak.expired(); });
    asio::co_spawn(world.context, pump(path, client, server, number, true), asio::detached);
    asio::co_spawn(world.context, pump(path, server, client, number, false), asio::detached);
}

static asio::awaitable<void> acceptAt(soak_world& world, std::shared_ptr<soak_path> path)
{
    error_code error;
    while (path->acceptor->is_open()) {
        auto socket = co_await path->acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            asio::co_spawn(world.context, carry(world, path, std::make_shared<tcp::socket>(std::move(socket))), asio::detached);
        else if (error != asio::error::operation_aborted)
            co_await rest(SilenceLook);
    }
}

std::shared_ptr<soak_path> makePath(soak_world& world, const tcp::endpoint& server, const std::string& ip)
{
    auto path = std::make_shared<soak_path>();
    path->server = server;
    path->acceptor = std::make_unique<tcp::acceptor>(world.context, tcp::endpoint(asio::ip::make_address(ip), 0));
    asio::co_spawn(world.context, acceptAt(world, path), asio::detached);
    return path;
}

void resetPath(soak_path& path)
{
    for (const auto& weak : path.open) {
        const auto socket = weak.lock();
        if (!socket || !socket->is_open())
            continue;
        error_code ignored; // The close has the same effect but for the reset.
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    path.open.clear();
}

} // namespace lhub::soak
