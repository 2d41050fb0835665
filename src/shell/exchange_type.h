/** @file exchange_type.h One request of a caller, on its connection. */
#pragma once

#include "shell/entry_shell.h"

namespace lhub {

/** Bounds of what a caller may send and how long it may take. */
struct exchange_limits {
    std::uint32_t headerBytes = 16'384; ///< Largest head of a request.
    std::size_t replayBytes = 65'536; ///< Bodies up to this are kept for a retry; longer ones are streamed.
    std::size_t relayBytes = 65'536; ///< Size of the relay's buffer.
    seconds idle { 60 }; ///< Longest silence of a caller.
    milliseconds freshEnough { 2000 }; ///< Idle connections older than this are not reused.
    std::size_t idlePerAddress = 4; ///< Idle connections kept to one address.
    milliseconds connectTime { 500 }; ///< Longest time to open a connection.
};

using buffer_parser = http::request_parser<http::buffer_body>;

/** The state of one exchange. */
struct exchange {
    entry_shell& shell; ///< The process.
    beast::tcp_stream& caller; ///< The caller's connection.
    beast::flat_buffer& buffer; ///< What was read from it and not parsed yet.
    buffer_parser parser; ///< The request.
    std::string from; ///< IP of the other side.
    std::uint64_t id = 0; ///< Number of the request.
    std::string requestId; ///< Travels on every hop.
    std::string service; ///< From the path.
    std::string body; ///< First part of the body, kept for a retry.
    bool bodyKept = true; ///< The body is whole in `body`.
    bool relayed = false; ///< Part of an answer went to the caller.
    bool endpointLeaving = false; ///< The endpoint said that it is leaving.
    bool keepCaller = true; ///< The caller's connection may carry another request.
    std::shared_ptr<exchange_channel> commands; ///< From the reducer.
    exchange_limits limits; ///< Bounds.
};

/** Sends the request once and relays the answer (forward.cpp). */
asio::awaitable<dispatch_outcome> forwardOnce(exchange& each, dispatch command);

/** Sends a request for a service and answers the caller (exchange.cpp). */
asio::awaitable<void> serveExchange(exchange& each);

/** Path prefix of requests to services: "/s/SERVICE/...". */
inline constexpr std::string_view ServicePrefix = "/s/";

} // namespace lhub
