/** @file client_table.cpp The compact table of client blocks. */
#include "steer/steer_func.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <istream>
#include <unordered_map>

namespace lhub {

constexpr unsigned HalfBits = 16;
constexpr std::uint32_t LowerMask = 0xffff;
constexpr std::uint32_t UpperCount = 0x10000;
constexpr unsigned AddressBits = 32;

namespace {

    /** A change of site at an address; what follows belongs to it. */
    struct site_change {
        std::uint32_t first = 0; ///< First address.
        std::uint16_t site = client_table::NoSite; ///< Site from here on.
    };

} // namespace

static std::string blockText(const client_block& block)
{
    return boost::asio::ip::address_v4(block.first).to_string() + "-"
        + boost::asio::ip::address_v4(block.last).to_string() + " " + block.zone;
}

/** Turns sorted blocks into changes of site; gaps become NoSite. Fails on an overlap. */
static outcome<std::vector<site_change>> listChanges(const std::vector<client_block>& blocks, client_table& table)
{
    std::unordered_map<std::string, std::uint16_t> known;
    std::vector<site_change> changes { { 0, client_table::NoSite } };
    std::uint64_t next = 0;
    for (const auto& block : blocks) {
        if (block.first < next)
            return failure<std::vector<site_change>>("block " + blockText(block) + ": overlaps the one before");
        const auto [site, added] = known.emplace(block.zone, static_cast<std::uint16_t>(known.size()));
        if (added)
            table.sites.push_back(block.zone);
        if (table.sites.size() >= client_table::NoSite)
            return failure<std::vector<site_change>>("block " + blockText(block) + ": more than 65,534 zones");
        if (block.first > next && changes.back().site != client_table::NoSite)
            changes.push_back({ static_cast<std::uint32_t>(next), client_table::NoSite });
        changes.push_back({ block.first, site->second });
        next = std::uint64_t(block.last) + 1;
    }
    if (next <= UINT32_MAX && changes.back().site != client_table::NoSite)
        changes.push_back({ static_cast<std::uint32_t>(next), client_table::NoSite });
    return success(std::move(changes));
}

/** Splits the changes by the upper half; each half begins with what the one before ended with. */
static void splitChanges(const std::vector<site_change>& changes, client_table& table)
{
    std::uint16_t present = client_table::NoSite;
    std::size_t at = 0;
    for (std::uint32_t upper = 0; upper < UpperCount; ++upper) {
        table.firstOf.push_back(static_cast<std::uint32_t>(table.lower.size()));
        table.lower.push_back(0);
        table.site.push_back(present);
        for (; at < changes.size() && changes[at].first >> HalfBits == upper; ++at) {
            present = changes[at].site;
            const auto lower = static_cast<std::uint16_t>(changes[at].first & LowerMask);
            if (table.lower.back() == lower) {
                table.site.back() = present;
                continue;
            }
            table.lower.push_back(lower);
            table.site.push_back(present);
        }
    }
    table.firstOf.push_back(static_cast<std::uint32_t>(table.lower.size()));
}

outcome<client_table> makeClientTable(std::vector<client_block> blocks)
{
    client_table table;
    std::sort(blocks.begin(), blocks.end(),
        [](const client_block& a, const client_block& b) { return a.first < b.first; });
    const auto changes = listChanges(blocks, table);
    if (!changes)
        return failure<client_table>(changes.reason);
    table.firstOf.reserve(UpperCount + 1);
    table.lower.reserve(changes.value->size() + UpperCount);
    table.site.reserve(changes.value->size() + UpperCount);
    splitChanges(*changes, table);
    return success(std::move(table));
}

/** Parses one line; nothing when it is malformed. */
static std::optional<client_block> parseBlock(const std::string& line)
{
    const auto slash = line.find('/');
    const auto space = line.find(' ');
    if (slash == std::string::npos || space == std::string::npos || space < slash)
        return std::nullopt;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(line.substr(0, slash), error);
    unsigned length = 0;
    const char* const end = line.data() + space;
    const auto parsed = std::from_chars(line.data() + slash + 1, end, length);
    if (error || parsed.ec != std::errc() || parsed.ptr != end || length > AddressBits)
        return std::nullopt;
    const auto hosts = length == 0 ? UINT32_MAX : (std::uint64_t(1) << (AddressBits - length)) - 1;
    const auto first = address.to_uint();
    if ((first & hosts) != 0 || space + 1 >= line.size())
        return std::nullopt;
    return client_block { first, static_cast<std::uint32_t>(first + hosts), line.substr(space + 1) };
}

outcome<client_table> readClientTable(std::istream& input)
{
    std::vector<client_block> blocks;
    std::string line;
    for (std::size_t number = 1; std::getline(input, line); ++number) {
        if (line.empty() || line.front() == '#')
            continue;
        auto block = parseBlock(line);
        if (!block) {
            return failure<client_table>(
                "line " + std::to_string(number) + ": '" + line + "': expected A.B.C.D/LEN ZONE");
        }
        blocks.push_back(std::move(*block));
    }
    return makeClientTable(std::move(blocks));
}

const std::string* zoneOfClient(const client_table& table, std::uint32_t address)
{
    if (table.firstOf.empty())
        return nullptr;
    const auto upper = address >> HalfBits;
    const auto begin = table.lower.begin() + table.firstOf[upper];
    const auto end = table.lower.begin() + table.firstOf[upper + 1];
    const auto lower = static_cast<std::uint16_t>(address & LowerMask);
    const auto after = std::upper_bound(begin, end, lower);
    const auto site = table.site[static_cast<std::size_t>(after - table.lower.begin()) - 1];
    return site == client_table::NoSite ? nullptr : &table.sites[site];
}

} // namespace lhub
