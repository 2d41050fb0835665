/** @file settings_type.h Settings of lhub-entry, lhub-agent and lhub-admin. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lhub {

/** Settings of one entry VM; lhub-entry and lhub-agent read the same file. */
struct vm_settings {
    std::string vm; ///< Name of the VM.
    std::string zone; ///< Its availability zone.
    std::string http; ///< IP:port that serves callers and requests forwarded by other VMs.
    std::string peer; ///< IP:port that serves gRPC calls of other entry VMs.
    std::string agent; ///< IP:port that the agent serves.
    std::string store; ///< IP:port of the platform's object store.
    std::vector<std::string> seeds; ///< IP:port of the agents of some other VMs, for a start while the store is not reachable.
    std::string clients; ///< Path of the file that assigns client IP blocks to zones; empty for none.
    std::uint32_t lookupLifetimeSeconds = 5; ///< Time for which callers may cache the response to a look-up.
};

/** Settings of lhub-admin. */
struct admin_settings {
    std::string listen; ///< IP:port that serves the administration API.
    std::string store; ///< IP:port of the platform's object store.
};

} // namespace lhub
