/** @file client_lookup_func.h Building the client table, and choosing entry VMs for a client. */
#pragma once

#include "client_lookup/client_lookup_type.h"
#include "config/config_type.h"
#include "core/outcome.h"
#include <iosfwd>
#include <set>

namespace lhub {

/** Builds the table. Fails when two blocks overlap or there are more than 65,534 zones. Thread safe. */
outcome<client_table> makeClientTable(std::vector<client_block> blocks);

/**
 * Reads a table of lines "A.B.C.D/LEN ZONE". Empty lines and lines that begin with '#' are skipped. Fails at the first
 * malformed line, with its number, and as makeClientTable().
 */
outcome<client_table> readClientTable(std::istream& input);

/** Zone nearest to the client at @p address, in host byte order; null when no block holds it. Thread safe. */
const std::string* zoneOfClient(const client_table& table, std::uint32_t address);

/** Makes the index. VMs that are leaving or drained, alone or with their zone or region, take no callers. */
client_lookup_index makeClientLookupIndex(const config_view& view);

/**
 * Chooses entry VMs for a client: first two of its own zone, then others of its region up to three together, and one of
 * another region in case a whole region is lost. Without any VM in the region, up to four of other regions.
 * @param zone nearest zone of the client; may be unknown.
 * @param clientHash hash of the client's address block; the same value gets the same VMs, different ones are spread.
 * @param avoid names of VMs that are not chosen, such as dead ones.
 */
client_lookup_result lookUpClient(const client_lookup_index& index, const std::string& zone, std::uint64_t clientHash,
    const std::set<std::string>& avoid);

} // namespace lhub
