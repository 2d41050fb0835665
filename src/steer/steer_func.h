/** @file steer_func.h Building the client table and answering look-ups. */
#pragma once

#include "config/config_type.h"
#include "core/outcome.h"
#include "steer/steer_type.h"
#include <iosfwd>
#include <set>

namespace lhub {

/** Builds the table. Fails when two blocks overlap or there are more sites than fit. Thread safe. */
outcome<client_table> makeClientTable(std::vector<client_block> blocks);

/** Reads lines "A.B.C.D/LEN ZONE"; '#' starts a comment. Fails with the first bad line's number. */
outcome<client_table> readClientTable(std::istream& input);

/** Zone nearest to the client; null when no block holds it. Thread safe. */
const std::string* zoneOfClient(const client_table& table, std::uint32_t address);

/** Index of the VMs that may take callers: registered, not leaving, in no drained zone. */
steer_index makeSteerIndex(const config_view& view);

/**
 * Entry VMs for a client: two of its own zone first, one more of its region, and one of another region for the loss
 * of a whole region.
 * @param zone nearest zone of the client.
 * @param clientHash hash of the client's block; spreads clients over the VMs of a zone and stays with them.
 * @param avoid VMs known to be dead.
 */
steer_answer steerClient(
    const steer_index& index, const std::string& zone, std::uint64_t clientHash, const std::set<std::string>& avoid);

} // namespace lhub
