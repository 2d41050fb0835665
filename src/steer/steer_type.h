/** @file steer_type.h Which entry VM a caller should use: the client table and the answer. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lhub {

/**
 * Blocks of IPv4 clients and the site each is nearest to. A sorted list of starts, split on the upper 16 bits of the
 * address, so that a block takes 4 bytes. Built once, then read only.
 */
struct client_table {
    std::vector<std::uint32_t> firstOf; ///< For each upper half, index of its first block; one more than 65,536.
    std::vector<std::uint16_t> lower; ///< Lower half of each block's first address.
    std::vector<std::uint16_t> site; ///< Index into sites for each block; NoSite outside all blocks.
    std::vector<std::string> sites; ///< Zone names.

    static constexpr std::uint16_t NoSite = 0xffff;
};

/** One client block: a prefix and the zone nearest to it. */
struct client_block {
    std::uint32_t first = 0; ///< First address.
    std::uint32_t last = 0; ///< Last address.
    std::string zone; ///< Nearest zone.
};

/** One entry VM of an answer. */
struct steer_choice {
    std::string vm; ///< Its name.
    std::string address; ///< IP:port for requests.
    std::uint32_t weight = 0; ///< Relative weight, for callers that spread their requests.
};

/** Answer to a look-up. */
struct steer_answer {
    std::vector<steer_choice> choices; ///< In order of preference.
    std::uint32_t lifetimeSeconds = 0; ///< Callers may cache it this long.
    std::uint64_t revision = 0; ///< Configuration it rests on.
    std::string zone; ///< Zone that the client is nearest to.
};

/** Entry VMs that take callers, by zone; rebuilt when the configuration changes. */
struct steer_index {
    std::map<std::string, std::vector<steer_choice>> byZone; ///< By zone, weight unset.
    std::map<std::string, std::vector<std::string>> zonesOf; ///< By region.
    std::map<std::string, std::vector<std::string>> farFrom; ///< Zones with VMs in other regions, by region.
    std::map<std::string, std::string> regionOf; ///< By zone.
    std::map<std::string, std::string> zoneOfIp; ///< Zone of each registered VM, by its IP; leaving ones too.
};

} // namespace lhub
