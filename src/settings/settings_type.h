/** @file settings_type.h What the programs read from their settings files. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lhub {

/** Settings of one entry VM, shared by lhub-entry and lhub-agent. */
struct vm_settings {
    std::string vm; ///< Name of the VM.
    std::string zone; ///< Its availability zone.
    std::string http; ///< IP:port for callers and for hops of other VMs.
    std::string peer; ///< IP:port for gRPC between entry VMs.
    std::string agent; ///< IP:port on which the agent serves.
    std::string store; ///< IP:port of the platform's store.
    std::vector<std::string> seeds; ///< Agents of other VMs, for a start without the store.
    std::string clients; ///< File of client blocks; empty for none.
    std::uint32_t lookupLifetimeSeconds = 5; ///< How long callers may cache a look-up.
};

/** Settings of lhub-admin. */
struct admin_settings {
    std::string listen; ///< IP:port of the administration API.
    std::string store; ///< IP:port of the platform's store.
};

} // namespace lhub
