/** @file http_type.h Types of calls with HTTP messages that are held in memory as a whole. */
#pragma once

#include "core/outcome.h"
#include "core/time_type.h"
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <string>

namespace lhub {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/** How a call ended. */
enum class http_result {
    ResponseReceived, ///< The whole response was received.
    NotSent, ///< The connection could not be opened: nothing was sent.
    NoResponse, ///< The request may have been sent, but no whole response was received.
};

/** Result of httpCall(). */
struct http_call_result {
    http_result result = http_result::NotSent; ///< How the call ended.
    http_response response; ///< Set when Answered.
    std::string reason; ///< Message for people; set unless Answered.
};

} // namespace lhub
