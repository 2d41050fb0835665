/** @file config_type.h The objects of the configuration, and their versioned state that every VM holds. */
#pragma once

#include "core/name_table.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lhub {

/** A service that callers send requests to. Key "service/NAME". */
struct service_config {
    std::string name; ///< Unique name.
    std::uint32_t deadlineMs = 2000; ///< Longest time from a request's arrival to its response, in milliseconds.
    std::vector<std::string> doubleWeight; ///< HTTP methods of weight 2: queued first, count double in the burn rate.
    std::uint32_t objectivePermille = 999; ///< Service level objective: share of good requests, in thousandths.
    std::uint32_t latencyMs = 1000; ///< A response that takes longer is not good, in milliseconds.
    std::string probePath = "/healthz"; ///< Path of the health probe that entry VMs send to endpoints.
};

/** An availability zone. Key "place/ZONE". */
struct place_config {
    std::string zone; ///< Unique name.
    std::string region; ///< Its region.
};

/** An endpoint. Key "endpoint/SERVICE/NAME". */
struct endpoint_config {
    std::string service; ///< The service that it belongs to.
    std::string name; ///< Unique name within the service.
    std::string zone; ///< Its zone.
    std::string address; ///< IP:port.
    std::uint32_t slots = 3; ///< Most requests that it serves at the same time.
    std::uint32_t connections = 350; ///< Most connections that it accepts, from all VMs together.
};

/** Status of a shift, set by operators. */
enum class shift_status {
    Running, ///< Moves requests up to its fraction and cap.
    Paused, ///< Moves none; may be resumed.
    RolledBack, ///< Moves none; ended.
};

/** Names of the values in stored objects. */
inline constexpr std::array<name_row<shift_status>, 3> ShiftStatusNames { {
    { shift_status::Running, "running" },
    { shift_status::Paused, "paused" },
    { shift_status::RolledBack, "rolled_back" },
} };

/** Moves a share of the requests for a service from one region to another. Key "shift/NAME". */
struct shift_config {
    std::string name; ///< Unique name.
    std::string service; ///< The service whose requests are moved.
    std::string fromRegion; ///< Region in which the requests arrive.
    std::string toRegion; ///< Region that serves them instead.
    std::uint32_t permille = 0; ///< Share of the arriving requests that is moved, in thousandths.
    std::uint32_t capPerSecond = 0; ///< Most requests moved in any second, by all VMs together.
    shift_status status = shift_status::Running; ///< Whether it moves requests.
    std::uint32_t rampSeconds = 0; ///< Time over which the moved share rises from 0 to permille.
    std::vector<std::string> zones; ///< Zones of fromRegion that share the cap equally.
};

/** What a drain takes out of service. */
enum class drain_kind {
    Endpoint, ///< Target is an endpoint, "SERVICE/NAME".
    Vm, ///< Target is an entry VM.
    Zone, ///< Target is an availability zone.
    Region, ///< Target is a region.
};

/** Names of the values in stored objects. */
inline constexpr std::array<name_row<drain_kind>, 4> DrainKindNames { {
    { drain_kind::Endpoint, "endpoint" },
    { drain_kind::Vm, "vm" },
    { drain_kind::Zone, "zone" },
    { drain_kind::Region, "region" },
} };

/** Takes its target out of service for new requests, while the object exists. Key "drain/NAME". */
struct drain_config {
    std::string name; ///< Unique name.
    drain_kind kind = drain_kind::Endpoint; ///< Kind of the target.
    std::string target; ///< Name of the target.
    std::string plannedStart; ///< Time as in RFC 3339 that the operator plans; has no effect.
    std::uint32_t expectedDurationSeconds = 0; ///< Duration that the operator expects; has no effect.
};

/** An entry VM, registered by its agent. Key "vm/NAME". */
struct vm_config {
    std::string name; ///< Unique name.
    std::string zone; ///< Its zone.
    std::string http; ///< IP:port for requests of callers and of other entry VMs.
    std::string peer; ///< IP:port for gRPC between entry VMs.
    std::string agent; ///< IP:port of its agent.
    std::uint64_t incarnation = 0; ///< Set at each start of the process; differs between any two of them.
    bool leaving = false; ///< It is stopping: gets no new callers and no new pools.
};

/** One object as stored. Its version only rises. */
struct config_object {
    std::uint64_t version = 0; ///< Store revision of its last change.
    bool deleted = false; ///< This is a tombstone: the object was deleted at this version.
    std::string value; ///< JSON text; empty for a tombstone.
};

/** An object with its key, as sent between processes. */
struct keyed_object {
    std::string key; ///< As "service/registry".
    config_object object;
};

/** The configuration as a VM holds it. */
struct config_state {
    std::uint64_t revision = 0; ///< All changes up to this revision are held.
    std::map<std::string, config_object> objects; ///< By key, tombstones included.
};

/** The parsed configuration. An object that does not parse does not replace its last valid version. */
struct config_view {
    std::uint64_t revision = 0; ///< Highest version applied, of rejected objects too.
    std::uint64_t rejected = 0; ///< Objects that did not parse, since the start.
    std::map<std::string, service_config> services; ///< By name.
    std::map<std::string, place_config> places; ///< By zone.
    std::map<std::string, std::map<std::string, endpoint_config>> endpoints; ///< By service, then name.
    std::map<std::string, shift_config> shifts; ///< By name.
    std::map<std::string, drain_config> drains; ///< By name.
    std::map<std::string, vm_config> vms; ///< By name; leaving ones too.
};

} // namespace lhub
