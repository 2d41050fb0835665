/** @file http_func.h Calls and servers for small whole HTTP messages. */
#pragma once

#include "net/http_type.h"
#include <map>

namespace lhub {

/** Parses "IP:port"; fails with the reason. Thread safe. */
outcome<tcp::endpoint> parseAddress(const std::string& text);

/** "IP:port" of an endpoint. Thread safe. */
std::string addressText(const tcp::endpoint& endpoint);

/** Sends one request over a connection of its own and reads the whole answer. */
asio::awaitable<http_reply> httpCall(tcp::endpoint to, http_request request, milliseconds timeout);

/** Answers one request. */
using http_handler = std::function<asio::awaitable<http_response>(const http_request&)>;

/** Limits of a server of small messages. */
struct http_limits {
    std::uint64_t bodyBytes = 2'000'000; ///< Largest body of a request.
    seconds idle { 60 }; ///< Longest silence on a connection.
};

/** Listens at @p address; port 0 lets the kernel choose. Fails with the reason. */
outcome<tcp::acceptor> listenAt(const asio::any_io_executor& executor, const std::string& address);

/** Accepts connections and answers requests until the acceptor is closed. */
asio::awaitable<void> serveHttp(tcp::acceptor& acceptor, http_handler handler, http_limits limits);

/** Whether a header field belongs to one connection only (RFC 9110, section 7.6.1). Thread safe. */
bool isHopByHop(http::field name);

/** An answer with a body. Thread safe. */
http_response makeAnswer(http::status status, std::string body, std::string_view contentType = "application/json");

/** A problem document (RFC 9457). Thread safe. */
http_response makeProblem(http::status status, const std::string& title, const std::string& detail);

/** The parameters of a target's query, percent-decoded. Thread safe. */
std::map<std::string, std::string> queryOf(std::string_view target);

/** The path of a target, without its query. Thread safe. */
std::string pathOf(std::string_view target);

} // namespace lhub
