/** @file config_type.h The objects that operators configure, and the versioned state that spreads to all VMs. */
#pragma once

#include "core/name_table.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lhub {

/** A service that clients call. Key "service/NAME". */
struct service_config {
    std::string name; ///< Identity.
    std::uint32_t deadlineMs = 2000; ///< Longest life of a request, in milliseconds.
    std::vector<std::string> doubleWeight; ///< HTTP methods whose requests count double.
    std::uint32_t objectivePermille = 999; ///< Part of the requests that should be good, in thousandths.
    std::uint32_t latencyMs = 1000; ///< An answer later than this is not good, in milliseconds.
    std::string probePath = "/healthz"; ///< Path of the health probe at endpoints.
};

/** An availability zone. Key "place/ZONE". */
struct place_config {
    std::string zone; ///< Identity.
    std::string region; ///< The region it lies in.
};

/** An endpoint. Key "endpoint/SERVICE/NAME". */
struct endpoint_config {
    std::string service; ///< The service it serves.
    std::string name; ///< Identity within the service.
    std::string zone; ///< The zone it stands in.
    std::string address; ///< IP:port.
    std::uint32_t slots = 3; ///< Requests it serves at the same time.
    std::uint32_t connections = 350; ///< Connections it accepts, from all VMs together.
};

/** What a shift does now. */
enum class shift_status {
    Running, ///< Moves requests up to its fraction and cap.
    Paused, ///< Moves none; keeps its place.
    RolledBack, ///< Moves none; ended.
};

/** Names of shift states. */
inline constexpr std::array<name_row<shift_status>, 3> ShiftStatusNames { {
    { shift_status::Running, "running" },
    { shift_status::Paused, "paused" },
    { shift_status::RolledBack, "rolled_back" },
} };

/** A move of part of a service's traffic from one region to another. Key "shift/NAME". */
struct shift_config {
    std::string name; ///< Identity.
    std::string service; ///< The service whose requests move.
    std::string fromRegion; ///< Region in which the requests arrive.
    std::string toRegion; ///< Region that serves them instead.
    std::uint32_t permille = 0; ///< Part of the arriving requests, in thousandths.
    std::uint32_t capPerSecond = 0; ///< Most requests moved in any second by all VMs together.
    shift_status status = shift_status::Running; ///< What it does now.
    std::uint32_t rampSeconds = 0; ///< Time from the start until the whole fraction moves.
    std::vector<std::string> zones; ///< Zones of fromRegion that share the cap equally.
};

/** What a drain empties. */
enum class drain_kind {
    Endpoint, ///< Target "SERVICE/NAME".
    Vm, ///< Target is an entry VM.
    Zone, ///< Target is an availability zone.
    Region, ///< Target is a region.
};

/** Names of drain kinds. */
inline constexpr std::array<name_row<drain_kind>, 4> DrainKindNames { {
    { drain_kind::Endpoint, "endpoint" },
    { drain_kind::Vm, "vm" },
    { drain_kind::Zone, "zone" },
    { drain_kind::Region, "region" },
} };

/** A planned stop. In force while the object exists. Key "drain/NAME". */
struct drain_config {
    std::string name; ///< Identity.
    drain_kind kind = drain_kind::Endpoint; ///< What it empties.
    std::string target; ///< Which one.
    std::string plannedStart; ///< RFC 3339, for people.
    std::uint32_t expectedDurationSeconds = 0; ///< How long the operator expects it to last.
};

/** An entry VM, registered by its own agent. Key "vm/NAME". */
struct vm_config {
    std::string name; ///< Identity.
    std::string zone; ///< The zone it stands in.
    std::string http; ///< IP:port for callers and hops.
    std::string peer; ///< IP:port for gRPC between entry VMs.
    std::string agent; ///< IP:port of its agent.
    std::uint64_t incarnation = 0; ///< Differs between two starts.
    bool leaving = false; ///< It is stopping: no new callers, no new ownership.
};

/** One object as stored: its version only rises. */
struct config_object {
    std::uint64_t version = 0; ///< Store revision of its last change.
    bool deleted = false; ///< A tombstone.
    std::string value; ///< JSON text; empty for a tombstone.
};

/** An object with its key, as it travels. */
struct keyed_object {
    std::string key; ///< "service/registry", ...
    config_object object; ///< Version and value.
};

/** Everything a VM knows of the configuration. */
struct config_state {
    std::uint64_t revision = 0; ///< Everything up to here is held completely.
    std::map<std::string, config_object> objects; ///< By key, tombstones included.
};

/** The configuration, parsed. Objects that do not parse keep their last good form. */
struct config_view {
    std::uint64_t revision = 0; ///< Highest version applied.
    std::uint64_t rejected = 0; ///< Objects that could not be parsed, counted.
    std::map<std::string, service_config> services; ///< By name.
    std::map<std::string, place_config> places; ///< By zone.
    std::map<std::string, std::map<std::string, endpoint_config>> endpoints; ///< By service, then name.
    std::map<std::string, shift_config> shifts; ///< By name.
    std::map<std::string, drain_config> drains; ///< By name.
    std::map<std::string, vm_config> vms; ///< By name.
};

} // namespace lhub
