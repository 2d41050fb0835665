/** @file lookup_func.h Which entry VMs the response to a look-up names. */
#pragma once

#include "gossip/gossip_type.h"
#include "lookup/lookup_type.h"

namespace lhub {

/** Capacity of a VM in requests per second, at least 1: the lower of what its processor and its link allow. Thread safe. */
std::uint32_t requestsPerSecondOf(const vm_size& size);

/**
 * The IPs that @p answerer names in its responses to look-ups. Callers use one of them at random. Each candidate is named by a
 * fraction of the VMs that answer look-ups, in proportion to its capacity and with the largest candidate named by all, so that
 * over all responses the callers spread by capacity. The choice depends only on the arguments, so that callers do not
 * move from one response to the next. The result has at least MinNamedVms entries, or all candidates if there are fewer, and at
 * most MaxNamedVms. Thread safe.
 * @param answerer name of the VM that answers the look-up.
 * @return IPs in the order of the candidates.
 */
std::vector<std::string> chooseNamedVms(std::string_view answerer, const std::vector<lookup_candidate>& candidates);

/** Minimum number of VMs in a response: callers need another one when the first does not answer. */
inline constexpr std::size_t MinNamedVms = 4;
/** Maximum number of VMs in a response: callers use no more of them. */
inline constexpr std::size_t MaxNamedVms = 64;

/**
 * The IPs that a look-up from @p region gets: serving members of that region; if there are none, of the regions in @p homes; if
 * there are none either, of all regions. chooseNamedVms() chooses among them. Thread safe on const objects.
 * @param homes regions that may serve the host of the look-up.
 */
std::vector<std::string> membersFor(const member_table& table, std::string_view region, const std::vector<std::string>& homes,
    const std::map<std::string, std::string>& regionOfZone, const gossip_settings& settings, time_point now);

} // namespace lhub
