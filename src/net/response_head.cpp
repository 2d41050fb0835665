/** @file response_head.cpp Strict parsing of the header sections of responses. */
#include "net/response_head_func.h"

#include "core/name_table.h"
#include <algorithm>
#include <charconv>

namespace lhub {

namespace {

    /** What the fields of a header section say about where the body ends. */
    struct framing_fields {
        bool http11 = false; ///< The version is HTTP/1.1.
        bool hasLength = false; ///< There was a Content-Length.
        bool chunked = false; ///< There was a Transfer-Encoding.
    };

    /** Messages of response_fault. */
    struct fault_category final : boost::system::error_category {
        const char* name() const noexcept override { return "response"; }
        std::string message(int value) const override;
    };

} // namespace

static constexpr std::array<name_row<response_fault>, 14> ResponseFaultNames { {
    { response_fault::None, "no fault" },
    { response_fault::Version, "version is neither HTTP/1.0 nor HTTP/1.1" },
    { response_fault::Status, "status is invalid" },
    { response_fault::ControlByte, "control byte in the header section" },
    { response_fault::LineEnd, "line does not end in CRLF" },
    { response_fault::Folding, "folded line" },
    { response_fault::FieldName, "field name is invalid" },
    { response_fault::ContentLength, "Content-Length is invalid" },
    { response_fault::TransferEncoding, "Transfer-Encoding is invalid" },
    { response_fault::Framing, "both Content-Length and Transfer-Encoding" },
    { response_fault::Length, "header section is too long" },
    { response_fault::Informational, "too many informational responses" },
    { response_fault::ContentCoding, "content coding that was not asked for" },
    { response_fault::RequestUnwritten, "connection ended before the request was written whole" },
} };

std::string fault_category::message(int value) const { return std::string(nameOf(ResponseFaultNames, static_cast<response_fault>(value))); }

boost::system::error_code make_error_code(response_fault fault) // NOLINT(readability-identifier-naming)
{
    static const fault_category Category;
    return { static_cast<int>(fault), Category };
}

static bool isDigit(char c) { return c >= '0' && c <= '9'; }

/** Whether a byte may be part of a token (RFC 9110, section 5.6.2). */
static bool isTokenByte(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || isDigit(c) || (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}

static bool isForbiddenControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

static bool hasForbiddenControl(std::string_view text) { return std::any_of(text.begin(), text.end(), isForbiddenControl); }

/** The text without blanks and tabs around it. */
static std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/** Whether the start line begins as that of HTTP/1.0 or HTTP/1.1; as far as it has arrived, if that is less. */
static bool hasKnownVersion(std::string_view line)
{
    static constexpr std::size_t VersionBytes = 9;
    const auto begin = line.substr(0, VersionBytes);
    return begin == std::string_view("HTTP/1.1 ").substr(0, begin.size()) || begin == std::string_view("HTTP/1.0 ").substr(0, begin.size());
}

/** Checks a start line of a known version. */
static response_fault checkStartLine(std::string_view line)
{
    static constexpr std::size_t StatusAt = 9;
    static constexpr std::size_t ReasonAt = 13;
    if (line.size() < ReasonAt || line[ReasonAt - 1] != ' ')
        return response_fault::Status;
    const auto status = line.substr(StatusAt, 3);
    const bool inRange = std::all_of(status.begin(), status.end(), isDigit) && status[0] >= '1' && status[0] <= '5';
    if (!inRange || status == "101")
        return response_fault::Status;
    return hasForbiddenControl(line.substr(ReasonAt)) ? response_fault::ControlByte : response_fault::None;
}

/** Whether the text consists of digits and its value can be represented. */
static bool isLength(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && std::all_of(text.begin(), text.end(), isDigit) && parsed.ec == std::errc();
}

/** Checks a field that says where the body ends, and records it. */
static response_fault checkFraming(std::string_view name, std::string_view value, framing_fields& framing)
{
    if (beast::iequals(name, "Content-Length")) {
        if (framing.hasLength || !isLength(value))
            return response_fault::ContentLength;
        framing.hasLength = true;
    } else if (beast::iequals(name, "Transfer-Encoding")) {
        if (framing.chunked || !framing.http11 || !beast::iequals(value, "chunked"))
            return response_fault::TransferEncoding;
        framing.chunked = true;
    }
    return framing.hasLength && framing.chunked ? response_fault::Framing : response_fault::None;
}

static response_fault checkField(std::string_view line, framing_fields& framing)
{
    if (line.front() == ' ' || line.front() == '\t')
        return response_fault::Folding;
    const auto nameEnd = static_cast<std::size_t>(std::find_if_not(line.begin(), line.end(), isTokenByte) - line.begin());
    if (nameEnd == 0 || nameEnd == line.size() || line[nameEnd] != ':')
        return response_fault::FieldName;
    const auto value = line.substr(nameEnd + 1);
    if (hasForbiddenControl(value))
        return response_fault::ControlByte;
    return checkFraming(line.substr(0, nameEnd), trimmed(value), framing);
}

response_head_check checkResponseHead(std::string_view received)
{
    const auto invalid = [](response_fault reason) { return response_head_check { head_state::Invalid, 0, reason }; };
    if (!hasKnownVersion(received))
        return invalid(response_fault::Version);
    framing_fields framing;
    std::size_t lineAt = 0;
    for (auto end = received.find('\n'); end != std::string_view::npos; end = received.find('\n', lineAt)) {
        if (end == lineAt || received[end - 1] != '\r')
            return invalid(response_fault::LineEnd);
        const auto line = received.substr(lineAt, end - 1 - lineAt);
        if (lineAt > 0 && line.empty())
            return { head_state::Valid, end + 1, response_fault::None };
        const auto fault = lineAt == 0 ? checkStartLine(line) : checkField(line, framing);
        if (fault != response_fault::None)
            return invalid(fault);
        framing.http11 = received.starts_with("HTTP/1.1");
        lineAt = end + 1;
    }
    return {};
}

boost::system::error_code parseResponseHead(beast::flat_buffer& buffer, http::basic_parser<false>& parser)
{
    const auto bytes = buffer.cdata();
    const auto check = checkResponseHead({ static_cast<const char*>(bytes.data()), bytes.size() });
    if (check.state == head_state::Incomplete)
        return http::error::need_more;
    if (check.state == head_state::Invalid)
        return check.reason;
    boost::system::error_code error;
    parser.eager(false);
    const auto parsed = parser.put(asio::buffer(bytes, check.headBytes), error);
    if (error == http::error::need_more || (!error && parsed != check.headBytes))
        return http::error::bad_field; // The parser sees another end of the header section.
    if (!error)
        buffer.consume(parsed);
    return error;
}

bool hasUnrequestedCoding(const http::response_header<>& response, const http::fields& request)
{
    const auto fields = response.equal_range(http::field::content_encoding);
    const bool encoded = std::any_of(fields.first, fields.second, [](const auto& field) { return !beast::iequals(field.value(), "identity"); });
    return encoded && response.result_int() / 100 == 2 && request.find(http::field::accept_encoding) == request.end();
}

bool hasNewLine(const beast::flat_buffer& buffer, std::size_t checked)
{
    const auto bytes = buffer.cdata();
    const std::string_view received(static_cast<const char*>(bytes.data()), bytes.size());
    // The version is checked before its line has ended.
    static constexpr std::size_t VersionBytes = 9;
    return checked < VersionBytes || received.find('\n', checked) != std::string_view::npos;
}

asio::awaitable<whole_response> readWholeResponse(beast::tcp_stream& stream, beast::flat_buffer& buffer, http::verb method)
{
    whole_response result;
    std::optional<http::response_parser<http::string_body>> parser;
    result.error = co_await readFinalResponseHead(stream, buffer, parser, response_head_options { method == http::verb::head });
    if (!result.error && hasUnrequestedCoding(parser->get(), {}))
        result.error = response_fault::ContentCoding;
    if (result.error)
        co_return result;
    auto header = std::move(parser->get().base()); // The parser adds trailer fields to its own header section.
    if (!parser->is_done())
        co_await http::async_read(stream, buffer, *parser, asio::redirect_error(asio::use_awaitable, result.error));
    if (result.error)
        co_return result;
    result.keepAlive = parser->keep_alive();
    result.response = parser->release();
    result.response.base() = std::move(header);
    co_return result;
}

} // namespace lhub
