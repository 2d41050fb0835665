/** @file entry_func.h The reducer of an entry VM: a function from state and event to new state and effects. */
#pragma once

#include "entry/entry_type.h"

namespace lhub {

/** Bit that is set in ids of calls from peers and never in ids of local requests; tells them apart in callId. */
inline constexpr std::uint64_t RemoteCallBit = std::uint64_t(1) << 63;

/**
 * State of an entry VM that has just started. Thread safe.
 * @param incarnation differs between two starts of the same VM, and rises.
 */
entry_state makeEntry(const std::string& vm, const std::string& zone, std::uint64_t incarnation);

/**
 * Applies one event. Reads no clock, socket or random device: the same events give the same effects.
 * @param effects the effects are appended to it.
 * Not thread safe.
 */
void reduce(entry_state& state, const timed_event& timed, entry_effects& effects);

} // namespace lhub
