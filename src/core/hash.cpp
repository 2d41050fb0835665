/** @file hash.cpp Stable hashes and weighted rendezvous hashing. */
#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <xxhash.h>

namespace lhub {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

/** Score of one candidate: weight / -ln(u), with u uniform in (0, 1). */
static double rendezvousScore(std::uint64_t key, const rendezvous_candidate& candidate)
{
    constexpr double HashRange = 18446744073709551616.0; // 2^64
    const double hashed = static_cast<double>(stableHash(candidate.name, key));
    const double uniform = (hashed + 0.5) / (HashRange + 1.0);
    return candidate.weight / -std::log(uniform);
}

std::vector<std::size_t> rendezvousOrder(std::uint64_t key, const std::vector<rendezvous_candidate>& candidates)
{
    std::vector<double> scores;
    scores.reserve(candidates.size());
    for (const auto& candidate : candidates)
        scores.push_back(rendezvousScore(key, candidate));
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        if (scores[a] != scores[b])
            return scores[a] > scores[b];
        return candidates[a].name < candidates[b].name;
    });
    return order;
}

} // namespace lhub
