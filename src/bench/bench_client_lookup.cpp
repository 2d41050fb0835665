/** @file bench_client_lookup.cpp Measures the client table and look-ups in-process, at the maximum size that the system is designed for. */
#include "bench/bench_func.h"

#include "client_lookup/client_lookup_func.h"
#include "core/hash.h"
#include "core/time_type.h"
#include <cstdio>
#include <random>

namespace lhub {

constexpr std::uint32_t Blocks = 3'800'000; ///< Address blocks in the client table.
constexpr std::uint32_t ClientZones = 1'500; ///< Zone names in the client table.
constexpr int TableLookups = 2'000'000; ///< Measured look-ups in the client table alone.

/** Adjacent blocks of 256 addresses, each assigned to a random zone name. */
static std::vector<client_block> makeBlocks(std::mt19937_64& random)
{
    constexpr std::uint32_t BlockSize = 256;
    std::vector<client_block> blocks;
    blocks.reserve(Blocks);
    for (std::uint32_t i = 0; i < Blocks; ++i) {
        const auto first = (i + Blocks) * BlockSize;
        blocks.push_back({ first, first + BlockSize - 1, "site-" + std::to_string(random() % ClientZones) });
    }
    return blocks;
}

/** A configuration with 4,500 entry VMs in 138 zones. */
static config_view makeConfigView()
{
    constexpr int Zones = 138;
    constexpr int Regions = 37;
    constexpr int Vms = 4500;
    config_view view;
    for (int i = 0; i < Zones; ++i) {
        const auto zone = "zone-" + std::to_string(i);
        view.places[zone] = { zone, "region-" + std::to_string(i % Regions) };
    }
    for (int i = 0; i < Vms; ++i) {
        const auto name = "vm" + std::to_string(i);
        view.vms[name] = { name, "zone-" + std::to_string(i % Zones), "10.0.0.1:80", "10.0.0.1:81", "10.0.0.1:82", 1,
            false };
    }
    return view;
}

static double secondsSince(time_point began)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
}

void benchClientLookup(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    auto blocks = makeBlocks(random);
    auto began = std::chrono::steady_clock::now();
    const auto table = makeClientTable(std::move(blocks));
    if (!table) {
        std::printf("%s\n", table.reason.c_str());
        return;
    }
    const auto bytes = table->lowerHalf.size() * 2 * sizeof(std::uint16_t) + table->firstBlockOf.size() * sizeof(std::uint32_t);
    std::printf("client table: %u blocks, built in %.2f s, %.1f MB, %.2f bytes a block\n", Blocks,
        secondsSince(began), static_cast<double>(bytes) / 1e6, static_cast<double>(bytes) / Blocks);
    began = std::chrono::steady_clock::now();
    std::uint64_t inBlock = 0;
    for (int i = 0; i < TableLookups; ++i)
        inBlock += zoneOfClient(*table, static_cast<std::uint32_t>(random())) ? 1 : 0;
    std::printf("table look-up: %.0f ns each (%llu of %d in a block)\n", secondsSince(began) / TableLookups * 1e9,
        static_cast<unsigned long long>(inBlock), TableLookups);
    const auto index = makeClientLookupIndex(makeConfigView());
    constexpr int ClientLookups = 200'000; // Measured look-ups that return entry VMs.
    std::uint64_t choices = 0;
    began = std::chrono::steady_clock::now();
    for (int i = 0; i < ClientLookups; ++i)
        choices += lookUpClient(index, "zone-" + std::to_string(i % 138), random(), {}).choices.size();
    std::printf("answer of %.1f VMs out of 4,500: %.2f us each\n", static_cast<double>(choices) / ClientLookups,
        secondsSince(began) / ClientLookups * 1e6);
}

} // namespace lhub
