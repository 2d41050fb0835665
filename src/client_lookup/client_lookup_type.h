/** @file client_lookup_type.h Types of look-ups: the client table, the index of entry VMs, and the result. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lhub {

/**
 * Blocks of IPv4 addresses of clients, each with its nearest zone. The sorted first addresses of the blocks are grouped
 * by their upper 16 bits into 65,536 groups, so that a block takes 4 bytes. Each group begins at lower half 0: a block
 * that reaches into further groups is split. Addresses between two blocks form a block without a zone. Built once, then
 * read only.
 */
struct client_table {
    std::vector<std::uint32_t> firstBlockOf; ///< Index of the first block of each group, then the number of blocks.
    std::vector<std::uint16_t> lowerHalf; ///< Lower half of the first address of each block.
    std::vector<std::uint16_t> zoneIndex; ///< Index into `zones` for each block; NoZone for a block without a zone.
    std::vector<std::string> zones; ///< Names of the zones.

    static constexpr std::uint16_t NoZone = 0xffff;
};

/** A block of client addresses and the zone nearest to it. */
struct client_block {
    std::uint32_t first = 0; ///< First address.
    std::uint32_t last = 0; ///< Last address.
    std::string zone; ///< Nearest zone.
};

/** An entry VM that a caller may use. */
struct vm_choice {
    std::string vm; ///< Name.
    std::string address; ///< IP:port for requests.
    std::uint32_t weight = 0; ///< Relative share, for callers that spread their requests over several VMs.
};

/** Result of a look-up. */
struct client_lookup_result {
    std::vector<vm_choice> choices; ///< In order of preference; empty when no VM takes callers.
    std::uint32_t lifetimeSeconds = 0; ///< How long callers may cache the result; set by the shell.
    std::uint64_t revision = 0; ///< Revision of the configuration; set by the shell.
    std::string zone; ///< Zone nearest to the client.
};

/** Index of the entry VMs for look-ups; made anew when the configuration changes. */
struct client_lookup_index {
    std::map<std::string, std::vector<vm_choice>> vmsByZone; ///< VMs that take callers; weights are not set.
    std::map<std::string, std::vector<std::string>> zonesByRegion; ///< Zones of each region.
    std::map<std::string, std::vector<std::string>> zonesOutside; ///< By region: other regions' zones with VMs.
    std::map<std::string, std::string> regionOf; ///< Region of each zone.
    std::map<std::string, std::string> zoneOfVmIp; ///< Zone of each VM by its IP; includes leaving and drained VMs.
};

} // namespace lhub
