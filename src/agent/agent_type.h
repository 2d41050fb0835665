/** @file agent_type.h State, events and effects of the agent, which passes on configuration and registers its VM. */
#pragma once

#include "config/config_type.h"
#include "core/time_type.h"
#include "store/store_type.h"
#include <variant>

namespace lhub {

/** Intervals, timeouts and counts of an agent. */
struct agent_limits {
    milliseconds maxWatchWait { 1000 }; ///< Longest wait of one watch; bounds the age of the store's confirmation.
    milliseconds minRetryDelay { 200 }; ///< Delay after the first failed watch and after a failed fetch from a peer.
    milliseconds maxRetryDelay { 5000 }; ///< Upper bound of the delay after failed watches in a row.
    milliseconds peerFetchInterval { 1000 }; ///< Time between fetches from peers while the store fails.
    milliseconds entryTimeout { 5000 }; ///< A VM whose entry process is silent for longer is registered as leaving.
    milliseconds minWriteInterval { 500 }; ///< Least time between two writes of registrations.
    std::uint32_t watchersPerZone = 2; ///< Agents of a zone that watch the store; the others follow them.
};

/** Where the agent gets changes of the configuration from. */
enum class agent_source {
    Store, ///< It watches the store.
    Peer, ///< It follows another agent.
};

/** Time has passed; sent at a fixed interval. */
struct agent_tick { };

/** A watch of the store ended. */
struct store_watched {
    store_reply reply; ///< Result and changed objects.
    time_point askedAt {}; ///< When the watch was sent.
};

/** A fetch from another agent ended. */
struct peer_fetched {
    std::string address; ///< Address of the other agent.
    bool reached = false; ///< Whether it replied; the members below are set only then, except askedAt.
    std::uint64_t revision = 0; ///< The reply holds all changes after the requested revision up to this one.
    std::vector<keyed_object> objects; ///< Changed objects.
    milliseconds age { 0 }; ///< Age of the store's confirmation at the other agent.
    time_point askedAt {}; ///< When the fetch was sent.
};

/** An agent or the entry process fetches changes of the configuration. */
struct fetch_arrived {
    std::uint64_t callId = 0; ///< Pairs the call with its reply_fetch.
    std::uint64_t since = 0; ///< Revision that the sender holds completely.
    milliseconds wait { 0 }; ///< How long the reply may wait for a change.
    bool fromEntry = false; ///< Sent by the entry process of this VM; the members below are used only then.
    bool entryLeaving = false; ///< The entry process is stopping.
    std::vector<std::string> gone; ///< Names of VMs of the zone that are silent for so long that they count as dead.
};

/** A write_registration ended. */
struct registration_written {
    store_reply reply; ///< Result and new version.
};

/** The agent was asked to stop. */
struct agent_stop_asked { };

/** Any event. */
using agent_event
    = std::variant<agent_tick, store_watched, peer_fetched, fetch_arrived, registration_written, agent_stop_asked>;

/** Watch the store. */
struct watch_store {
    std::uint64_t since = 0; ///< Revision that this agent holds completely.
    milliseconds wait { 0 }; ///< Longest wait for a change.
};

/** Fetch changes from another agent. */
struct fetch_peer {
    std::string address; ///< Address of the other agent.
    std::uint64_t since = 0; ///< Revision that this agent holds completely.
    milliseconds wait { 0 }; ///< Longest wait for a change.
};

/** Reply to a fetch_arrived. */
struct reply_fetch {
    std::uint64_t callId = 0; ///< Of the fetch_arrived.
    std::uint64_t revision = 0; ///< The reply holds all changes after the requested revision up to this one.
    std::vector<keyed_object> objects; ///< Changed objects.
    milliseconds age { 0 }; ///< Age of the store's confirmation.
};

/** Write the registration of this VM, or remove it or that of a dead VM of the zone. */
struct write_registration {
    store_request request; ///< A conditional put or delete.
};

/** Write a log line. */
struct agent_log {
    std::string text; ///< Fields as name=value.
};

/** The process may exit: the registration has been removed, or the time allowed for that is over. */
struct agent_stopped { };

/** Any effect. */
using agent_effect
    = std::variant<watch_store, fetch_peer, reply_fetch, write_registration, agent_log, agent_stopped>;

/** Effects of one event, in the order in which they are to be executed. */
using agent_effects = std::vector<agent_effect>;

/** A fetch that has no reply yet. */
struct waiting_fetch {
    std::uint64_t callId = 0; ///< Of the fetch_arrived.
    std::uint64_t since = 0; ///< Revision that the sender holds completely.
    time_point expiresAt {}; ///< Replied to at this time even when nothing has changed.
};

/** The agent's state. */
struct agent_state {
    vm_config self; ///< How this VM registers itself.
    std::vector<std::string> seeds; ///< Addresses of agents from the settings file.
    config_state config; ///< The configuration as received.
    config_view view; ///< The configuration parsed; only the registered VMs are used.
    time_point lastEventAt {}; ///< Time of the last event.
    time_point confirmedAt {}; ///< When the store last confirmed the configuration, here or at a peer.
    bool ready = false; ///< Holds a complete configuration, from the store or from all reachable peers.
    std::uint64_t completeRevision = 0; ///< All changes up to this revision are held.
    bool watchPending = false; ///< A watch_store has not ended yet.
    bool storeReachable = true; ///< The last watch succeeded.
    bool fetchPending = false; ///< A fetch_peer has not ended yet.
    std::size_t nextPeer = 0; ///< Position of the next peer to fetch from, modulo the number of peers.
    std::size_t fetchesEnded = 0; ///< Number of fetches from peers that ended; tells when each peer was asked once.
    std::uint32_t failedFetches = 0; ///< Fetches from peers that failed in a row.
    time_point nextWatchAt {}; ///< Earliest time of the next watch.
    time_point nextFetchAt {}; ///< Earliest time of the next fetch from a peer.
    milliseconds retryDelay { 0 }; ///< Delay after the last failed watch, before jitter; 0 after a success.
    time_point entryFetchedAt {}; ///< When the entry process last fetched.
    bool entryHasFetched = false; ///< The entry process fetched at least once.
    bool entryLeaving = false; ///< The entry process is stopping.
    std::vector<std::string> vmsToDeregister; ///< Dead VMs, as last named by the entry process.
    bool writePending = false; ///< A write_registration has not ended yet.
    time_point nextWriteAt {}; ///< Earliest time of the next write_registration.
    bool stopping = false; ///< The agent was asked to stop.
    bool stopped = false; ///< agent_stopped was issued.
    time_point stopDeadline {}; ///< agent_stopped is issued then even if the registration is still there.
    std::vector<waiting_fetch> waitingFetches; ///< Fetches without a reply.
    agent_limits limits; ///< Intervals, timeouts and counts.
};

} // namespace lhub
