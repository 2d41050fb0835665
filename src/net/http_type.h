/** @file http_type.h Small whole HTTP messages, for administration, the store and the stand-ins. */
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

/** How a small HTTP call ended. */
enum class http_result {
    Answered, ///< A whole answer came back.
    NotSent, ///< No connection: nothing was written.
    Lost, ///< Written at least in part; no whole answer.
};

/** Result of httpCall(). */
struct http_reply {
    http_result result = http_result::NotSent; ///< How it ended.
    http_response response; ///< Set when Answered.
    std::string reason; ///< For people, otherwise.
};

} // namespace lhub
