/** @file exchange_type.h A request for a service and its response, on the connection of the caller. */
#pragma once

#include "shell/entry_shell.h"

namespace lhub {

/** Limits of requests and connections. */
struct exchange_limits {
    std::uint32_t maxHeaderBytes = 16'384; ///< Largest header section of a request or a response.
    std::size_t replayBufferBytes = 65'536; ///< Longer bodies are streamed and cannot be sent again.
    std::size_t relayBufferBytes = 65'536; ///< Size of the buffer that bodies are relayed through.
    seconds idleTimeout { 60 }; ///< Longest time to wait for and read a request's header, or to write a local response.
    milliseconds maxIdleTime { 2000 }; ///< Connections that were idle for longer are not reused.
    std::size_t maxIdlePerAddress = 4; ///< Idle connections that are kept to one address.
    milliseconds connectTimeout { 500 }; ///< Longest time to open a connection.
};

using buffer_parser = http::request_parser<http::buffer_body>;

/** One request for a service and its response. */
struct caller_exchange {
    entry_shell& shell; ///< State of the process.
    beast::tcp_stream& caller; ///< Connection to the caller, which may be another entry VM.
    beast::flat_buffer& buffer; ///< Bytes read from the caller and not parsed yet.
    buffer_parser parser; ///< Parses the request; holds its header.
    std::string callerIp; ///< IP of the caller.
    std::uint64_t id = 0; ///< Id of the request within this process.
    std::string requestId; ///< Value of Lhub-Request-Id; made here when the caller gave none.
    std::string service; ///< Name of the service, from the path.
    std::string body; ///< First part of the body, up to replayBufferBytes.
    bool bodyBuffered = true; ///< `body` holds the whole body, so that it can be sent again.
    bool mustNotResend = false; ///< Part of a response went to the caller, or the body was streamed.
    bool endpointLeaving = false; ///< The last response of an endpoint had the header Lhub-Leaving.
    bool keepAlive = true; ///< The caller's connection may be used for another request.
    std::shared_ptr<exchange_channel> commands; ///< From the reducer; null until request_arrived is raised.
    exchange_limits limits; ///< Limits that apply to it.
};

/** Sends the request once, to an endpoint or another entry VM, and relays the response (forward.cpp). */
asio::awaitable<dispatch_outcome> forwardOnce(caller_exchange& exchange, dispatch command);

/** Serves a request for a service, from its header to its response (exchange.cpp). */
asio::awaitable<void> serveExchange(caller_exchange& exchange);

/** Path prefix of requests to services: "/s/SERVICE/...". */
inline constexpr std::string_view ServicePrefix = "/s/";

} // namespace lhub
