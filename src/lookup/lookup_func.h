/** @file lookup_func.h Which entry VMs a look-up names. */
#pragma once

#include "gossip/gossip_type.h"
#include "lookup/lookup_type.h"

namespace lhub {

/** Requests a second that a VM can carry, at least 1: its processor or its link binds. Thread safe. */
std::uint32_t carriedBy(const vm_size& size);

/**
 * The IPs that @p answerer names. A caller uses one of them at random, so a VM is named by as many of the answerers as it
 * carries of what the largest one does: all answers together spread callers by size. The choice is the same at each call,
 * so that callers do not move between two answers. At least LeastNamed VMs are named where there are as many, and
 * MostNamed at most.
 * @return in the order of the candidates. Thread safe.
 */
std::vector<std::string> nameVms(std::string_view answerer, const std::vector<lookup_candidate>& candidates);

/** VMs named at least: callers need another one when the first does not answer. */
inline constexpr std::size_t LeastNamed = 4;
/** VMs named at most: callers take no more from an answer. */
inline constexpr std::size_t MostNamed = 64;

/**
 * The serving members that a caller in @p region should use: those of its region, or all when it has none.
 * @param homes regions that may serve the caller's host; preferred to the rest when its own region has nobody.
 * Thread safe on const objects.
 */
std::vector<std::string> membersFor(const member_table& table, std::string_view region, const std::vector<std::string>& homes,
    const std::map<std::string, std::string>& regionOfZone, const gossip_limits& limits, time_point now);

} // namespace lhub
