/** @file entry_func.h The reducer of an entry VM. */
#pragma once

#include "entry/entry_type.h"

namespace lhub {

/** Ids of calls that came over the network have this bit; ids of requests never do. */
inline constexpr std::uint64_t RemoteCallBit = std::uint64_t(1) << 63;

/** State of an entry VM that has just started. Thread safe. */
entry_state makeEntry(const std::string& vm, const std::string& zone, std::uint64_t incarnation);

/**
 * Applies one event. Never reads a clock, a socket or a random device: the same events give the same effects.
 * Not thread safe.
 */
void reduce(entry_state& state, const timed_event& timed, entry_effects& effects);

} // namespace lhub
