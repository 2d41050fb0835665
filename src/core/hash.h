/** @file hash.h Hashes that are the same on every VM, by xxHash. */
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace lhub {

/** Hash of @p text under @p seed; equal in every process and release. Thread safe. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/** One candidate of a weighted rendezvous. */
struct rendezvous_candidate {
    std::string_view name; ///< Identity of the candidate.
    double weight = 1; ///< Share it should win, relative to the others; 0 never wins against a positive one.
};

/**
 * Ranks candidates for a key by weighted rendezvous hashing (Thaler and Ravishankar 1998).
 * A candidate that leaves moves only the keys it had won. Thread safe.
 * @return indices into @p candidates, best first.
 */
std::vector<std::size_t> rendezvousOrder(std::uint64_t key, const std::vector<rendezvous_candidate>& candidates);

} // namespace lhub
