/** @file json_fields.cpp Checks of field values, and the JSON parser that all tables of fields use. */
#include "core/json_fields.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace lhub {

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(host), error);
    if (error)
        return false;
    const auto port = text.substr(colon + 1);
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), number);
    constexpr std::uint32_t MaxPort = 65535;
    return parsed.ec == std::errc() && parsed.ptr == port.data() + port.size() && number >= 1 && number <= MaxPort;
}

bool isName(std::string_view text)
{
    constexpr std::size_t MaxNameLength = 63;
    if (text.empty() || text.size() > MaxNameLength)
        return false;
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
    });
}

outcome<json::value> parseJson(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::system::error_code error;
    auto value = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
    if (error)
        return failure<json::value>("not JSON: " + error.message());
    return success(std::move(value));
}

} // namespace lhub
