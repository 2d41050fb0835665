/** @file response_head_type.h Why a response is not accepted, and results of checking and reading responses. */
#pragma once

#include "net/http_type.h"

namespace lhub {

/** Largest header section of a response that is read. */
inline constexpr std::size_t MaxResponseHeadBytes = 65'536;

/** Informational (1xx) responses that are skipped in front of a final one; more count as a malfunction of the endpoint. */
inline constexpr int MaxInformationalResponses = 8;

/** Why a response is not accepted. Converts to error_code. */
enum class response_fault {
    None,
    Version, ///< The start line begins with neither "HTTP/1.0 " nor "HTTP/1.1 ".
    Status, ///< Not three digits and a blank, not from 100 to 599, or 101: no upgrade is ever requested.
    ControlByte, ///< In the reason or in a value, other than tab; also a CR that ends no line.
    LineEnd, ///< A line that ends in LF alone.
    Folding, ///< A line that continues the one before it.
    FieldName, ///< Empty, with a byte that is not allowed, or not directly followed by a colon.
    ContentLength, ///< Not a number, or several.
    TransferEncoding, ///< Other than chunked, several, or in HTTP/1.0.
    Framing, ///< Both Content-Length and Transfer-Encoding.
    Length, ///< The header section is longer than MaxResponseHeadBytes.
    Informational, ///< More than MaxInformationalResponses informational responses.
    ContentCoding, ///< The body is encoded, and the request asked for no encoding.
    RequestUnwritten, ///< The response ended with its connection, and the request was not written whole.
};

/** What the received bytes are. */
enum class head_state {
    Incomplete, ///< No fault so far; the empty line that ends the header section has not arrived.
    Valid,
    Invalid,
};

/** Result of checkResponseHead(). */
struct response_head_check {
    head_state state = head_state::Incomplete;
    std::size_t headBytes = 0; ///< Length of the header section with the empty line; set when it is valid.
    response_fault reason = response_fault::None; ///< Set when it is invalid.
};

/** How the header section of a response is read. */
struct response_head_options {
    bool toHeadRequest = false; ///< Whether the request was a HEAD: the response has no body, whatever its header section says.
    std::uint32_t maxBytes = 8192; ///< Largest header section that is accepted.
};

/** Result of readWholeResponse(). */
struct whole_response {
    boost::system::error_code error; ///< Why there is no response; none when there is one.
    http_response response; ///< Set without an error. Trailer fields are not part of it.
    bool keepAlive = false; ///< Whether the connection can be used for another request.
};

} // namespace lhub

template <>
struct boost::system::is_error_code_enum<lhub::response_fault> : std::true_type { };
