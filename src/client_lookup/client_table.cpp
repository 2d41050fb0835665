/** @file client_table.cpp Building, reading and searching the table of client blocks. */
#include "client_lookup/client_lookup_func.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <istream>
#include <unordered_map>

namespace lhub {

constexpr unsigned HalfBits = 16; // the table splits addresses into an upper and a lower half
constexpr std::uint32_t LowerMask = 0xffff;
constexpr std::uint32_t UpperCount = 0x10000;
constexpr unsigned AddressBits = 32;

namespace {

    /** A point in the address space from which on another zone is the nearest, up to the next such point. */
    struct zone_change {
        std::uint32_t first = 0; ///< First address.
        std::uint16_t zoneIndex = client_table::NoZone; ///< Index into client_table::zones.
    };

} // namespace

static std::string blockText(const client_block& block)
{
    return boost::asio::ip::address_v4(block.first).to_string() + "-"
        + boost::asio::ip::address_v4(block.last).to_string() + " " + block.zone;
}

/** Changes of the nearest zone that sorted blocks imply; gaps become NoZone. Fails on an overlap or too many zones. */
static outcome<std::vector<zone_change>> listChanges(const std::vector<client_block>& blocks, client_table& table)
{
    std::unordered_map<std::string, std::uint16_t> indexByZone;
    std::vector<zone_change> changes { { 0, client_table::NoZone } };
    std::uint64_t nextFree = 0;
    for (const auto& block : blocks) {
        if (block.first < nextFree)
            return failure<std::vector<zone_change>>("block " + blockText(block) + ": overlaps the one before");
        const auto [known, added] = indexByZone.emplace(block.zone, static_cast<std::uint16_t>(indexByZone.size()));
        if (added)
            table.zones.push_back(block.zone);
        if (table.zones.size() >= client_table::NoZone)
            return failure<std::vector<zone_change>>("block " + blockText(block) + ": more than 65,534 zones");
        if (block.first > nextFree && changes.back().zoneIndex != client_table::NoZone)
            changes.push_back({ static_cast<std::uint32_t>(nextFree), client_table::NoZone });
        changes.push_back({ block.first, known->second });
        nextFree = std::uint64_t(block.last) + 1;
    }
    if (nextFree <= UINT32_MAX && changes.back().zoneIndex != client_table::NoZone)
        changes.push_back({ static_cast<std::uint32_t>(nextFree), client_table::NoZone });
    return success(std::move(changes));
}

/** Groups the changes by the upper half of their address. Each group begins at lower half 0, with the zone there. */
static void splitChanges(const std::vector<zone_change>& changes, client_table& table)
{
    std::uint16_t current = client_table::NoZone;
    std::size_t next = 0;
    for (std::uint32_t upper = 0; upper < UpperCount; ++upper) {
        table.firstBlockOf.push_back(static_cast<std::uint32_t>(table.lowerHalf.size()));
        table.lowerHalf.push_back(0);
        table.zoneIndex.push_back(current);
        for (; next < changes.size() && changes[next].first >> HalfBits == upper; ++next) {
            current = changes[next].zoneIndex;
            const auto lower = static_cast<std::uint16_t>(changes[next].first & LowerMask);
            if (table.lowerHalf.back() == lower) {
                table.zoneIndex.back() = current;
                continue;
            }
            table.lowerHalf.push_back(lower);
            table.zoneIndex.push_back(current);
        }
    }
    table.firstBlockOf.push_back(static_cast<std::uint32_t>(table.lowerHalf.size()));
}

outcome<client_table> makeClientTable(std::vector<client_block> blocks)
{
    client_table table;
    std::sort(blocks.begin(), blocks.end(),
        [](const client_block& a, const client_block& b) { return a.first < b.first; });
    const auto changes = listChanges(blocks, table);
    if (!changes)
        return failure<client_table>(changes.reason);
    table.firstBlockOf.reserve(UpperCount + 1);
    table.lowerHalf.reserve(changes.value->size() + UpperCount);
    table.zoneIndex.reserve(changes.value->size() + UpperCount);
    splitChanges(*changes, table);
    return success(std::move(table));
}

/** Parses a line "A.B.C.D/LEN ZONE"; nothing when it is malformed or an address bit after the prefix is set. */
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
    const auto hostMask = length == 0 ? UINT32_MAX : (std::uint64_t(1) << (AddressBits - length)) - 1;
    const auto first = address.to_uint();
    if ((first & hostMask) != 0 || space + 1 >= line.size())
        return std::nullopt;
    return client_block { first, static_cast<std::uint32_t>(first + hostMask), line.substr(space + 1) };
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
    if (table.firstBlockOf.empty())
        return nullptr;
    const auto upper = address >> HalfBits;
    const auto begin = table.lowerHalf.begin() + table.firstBlockOf[upper];
    const auto end = table.lowerHalf.begin() + table.firstBlockOf[upper + 1];
    const auto lower = static_cast<std::uint16_t>(address & LowerMask);
    const auto after = std::upper_bound(begin, end, lower);
    const auto zoneIndex = table.zoneIndex[static_cast<std::size_t>(after - table.lowerHalf.begin()) - 1];
    return zoneIndex == client_table::NoZone ? nullptr : &table.zones[zoneIndex];
}

} // namespace lhub
