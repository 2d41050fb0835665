/** @file response_head_func.h Strict parsing of the header sections of responses, for all readers of responses. */
#pragma once

#include "net/response_head_type.h"
#include <optional>
#include <string_view>

namespace lhub {

/** For conversion of response_fault to error_code. Thread safe. */
boost::system::error_code make_error_code(response_fault fault); // NOLINT(readability-identifier-naming): found by this name.

/**
 * Checks whether the received bytes begin with the valid header section of a response; see docs/design/strict-responses.md.
 * A fault is reported as soon as its line is complete, one in the version at once. Thread safe.
 */
response_head_check checkResponseHead(std::string_view received);

/** Parses the header section at the beginning of the buffer if it is complete and valid, and removes it from there. @return http::error::need_more when it is incomplete. */
boost::system::error_code parseResponseHead(beast::flat_buffer& buffer, http::basic_parser<false>& parser);

/** Whether a response with status 2xx has a content coding although the request asked for none. */
bool hasUnrequestedCoding(const http::response_header<>& response, const http::fields& request);

/** Whether the bytes after the first @p checked ones contain the end of a line, without which checkResponseHead() finds nothing new. */
bool hasNewLine(const beast::flat_buffer& buffer, std::size_t checked);

/** Reads the header section of a response into the buffer and parses it. */
template <typename Stream>
asio::awaitable<boost::system::error_code> readResponseHead(Stream& stream, beast::flat_buffer& buffer, http::basic_parser<false>& parser)
{
    boost::system::error_code error = parseResponseHead(buffer, parser);
    while (error == http::error::need_more) {
        const auto checked = buffer.size();
        const auto size = checked < MaxResponseHeadBytes ? beast::read_size(buffer, MaxResponseHeadBytes - checked) : 0;
        if (size == 0)
            co_return response_fault::Length;
        boost::system::error_code readError;
        buffer.commit(co_await stream.async_read_some(buffer.prepare(size), asio::redirect_error(asio::use_awaitable, readError)));
        if (readError == asio::error::eof)
            co_return checked == 0 ? http::error::end_of_stream : http::error::partial_message;
        if (readError)
            co_return readError;
        if (hasNewLine(buffer, checked))
            error = parseResponseHead(buffer, parser);
    }
    co_return error;
}

/** Reads the header section of the next final response; informational ones are skipped. @param parser is made anew for each response. */
template <typename Stream, typename Body>
asio::awaitable<boost::system::error_code> readFinalResponseHead(
    Stream& stream, beast::flat_buffer& buffer, std::optional<http::response_parser<Body>>& parser, response_head_options options)
{
    for (int informational = 0; informational <= MaxInformationalResponses; ++informational) {
        parser.emplace();
        parser->body_limit(boost::none);
        parser->header_limit(options.maxBytes);
        parser->skip(options.toHeadRequest);
        const auto error = co_await readResponseHead(stream, buffer, *parser);
        if (error || parser->get().result_int() >= 200)
            co_return error;
    }
    co_return response_fault::Informational;
}

/** Reads one whole response to a request that asked for no content coding. Precondition: the request was written without an error. */
asio::awaitable<whole_response> readWholeResponse(beast::tcp_stream& stream, beast::flat_buffer& buffer, http::verb method);

} // namespace lhub
