/** @file hash.h Hashes that are equal on every VM, computed with xxHash. */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace lhub {

/** XXH64 hash of @p text with @p seed; must be equal in every process and release. Thread safe. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/** A candidate of weighted rendezvous hashing. */
struct rendezvous_candidate {
    std::string_view name; ///< Unique name of the candidate.
    double weight = 1; ///< Share of the keys that it should win, relative to the others; a weight of 0 never wins against a positive one.
};

/**
 * Ranks candidates for a key by weighted rendezvous hashing (Thaler and Ravishankar 1998).
 * If a candidate is removed, only the keys that it had won move. Equal scores are ordered by name. Thread safe.
 * @return indices into @p candidates, best first.
 */
std::vector<std::size_t> rendezvousOrder(std::uint64_t key, const std::vector<rendezvous_candidate>& candidates);

} // namespace lhub
