/** @file agent_type.h State, events and effects of the agent: configuration in, registration out. */
#pragma once

#include "config/config_type.h"
#include "core/time_type.h"
#include "store/store_type.h"
#include <variant>

namespace lhub {

/** Bounds of an agent. */
struct agent_limits {
    milliseconds watchWait { 1000 }; ///< Longest wait of one watch; bounds the age of the store's confirmation.
    milliseconds retryFirst { 200 }; ///< First pause after a failed call.
    milliseconds retryLast { 5000 }; ///< Longest pause after failed calls.
    milliseconds peerEvery { 1000 }; ///< While the store fails, peers are asked this often.
    milliseconds entrySilence { 5000 }; ///< An entry process silent for longer is registered as leaving.
    milliseconds writeEvery { 500 }; ///< Fewest time between two registrations.
    std::uint32_t watchersPerZone = 2; ///< Agents of a zone that watch the store; the others follow them.
};

/** Where the agent's news come from at present. */
enum class agent_source {
    Store, ///< It watches the store.
    Peer, ///< It follows another agent.
};

/** Time passed. */
struct agent_tick { };

/** A watch of the store ended. */
struct store_watched {
    store_reply reply; ///< Its answer.
    time_point askedAt {}; ///< When it was sent.
};

/** A fetch from another agent ended. */
struct peer_fetched {
    std::string address; ///< Which agent.
    bool reached = false; ///< Whether it answered.
    std::uint64_t revision = 0; ///< Everything up to here is in the answer.
    std::vector<keyed_object> objects; ///< What changed.
    milliseconds age { 0 }; ///< Age of the store's confirmation at the other agent.
    time_point askedAt {}; ///< When it was sent.
};

/** An agent or the entry process asks for news. */
struct fetch_arrived {
    std::uint64_t callId = 0; ///< Names the answer.
    std::uint64_t since = 0; ///< What the caller holds.
    milliseconds wait { 0 }; ///< How long it may wait.
    bool fromEntry = false; ///< The entry process of this VM asks.
    bool entryLeaving = false; ///< It is stopping.
    std::vector<std::string> gone; ///< VMs of the zone that it has not heard from for long.
};

/** The registration's write ended. */
struct registration_written {
    store_reply reply; ///< Its answer.
};

/** The agent was asked to stop. */
struct agent_stop_asked { };

/** Any event. */
using agent_event
    = std::variant<agent_tick, store_watched, peer_fetched, fetch_arrived, registration_written, agent_stop_asked>;

/** Watch the store. */
struct watch_store {
    std::uint64_t since = 0; ///< Revision held.
    milliseconds wait { 0 }; ///< Longest wait.
};

/** Fetch from another agent. */
struct fetch_peer {
    std::string address; ///< Which agent.
    std::uint64_t since = 0; ///< Revision held.
    milliseconds wait { 0 }; ///< Longest wait.
};

/** Answer a fetch. */
struct reply_fetch {
    std::uint64_t callId = 0; ///< Names the call.
    std::uint64_t revision = 0; ///< Everything up to here is in the answer.
    std::vector<keyed_object> objects; ///< What changed.
    milliseconds age { 0 }; ///< Age of the store's confirmation.
};

/** Write the registration of this VM. */
struct write_registration {
    store_request request; ///< A conditional put or delete.
};

/** Write a line: a state changed. */
struct agent_log {
    std::string text; ///< Fields as name=value.
};

/** The agent may end: the registration is gone, or cannot be taken out. */
struct agent_stopped { };

/** Any effect. */
using agent_effect
    = std::variant<watch_store, fetch_peer, reply_fetch, write_registration, agent_log, agent_stopped>;

/** What one event brings about. */
using agent_effects = std::vector<agent_effect>;

/** A fetch that waits for news. */
struct waiting_fetch {
    std::uint64_t callId = 0; ///< Names the answer.
    std::uint64_t since = 0; ///< What the caller holds.
    time_point until {}; ///< Answer without news then.
};

/** The agent's state. */
struct agent_state {
    vm_config self; ///< How this VM registers itself.
    std::vector<std::string> seeds; ///< Agents known from the settings.
    config_state config; ///< Configuration.
    config_view view; ///< Parsed, for the agents of the zone.
    time_point present {}; ///< Time of the last event.
    time_point confirmedAt {}; ///< When the store last confirmed the configuration.
    bool ready = false; ///< Holds a complete configuration, from the store or from all reachable peers.
    std::uint64_t complete = 0; ///< Revision held completely.
    bool storeBusy = false; ///< A watch is on its way.
    bool storeUp = true; ///< The last watch succeeded.
    bool peerBusy = false; ///< A fetch is on its way.
    std::size_t peerTurn = 0; ///< Next peer to ask.
    std::size_t peersAsked = 0; ///< Peers asked since the start, while not ready.
    std::uint32_t peerFailures = 0; ///< Fetches failed in a row while following.
    time_point nextWatch {}; ///< No watch before this.
    time_point nextFetch {}; ///< No fetch before this.
    milliseconds pause { 0 }; ///< Present pause after failures.
    time_point entryHeard {}; ///< When the entry process last asked.
    bool entrySeen = false; ///< It asked at least once.
    bool entryLeaving = false; ///< It is stopping.
    std::vector<std::string> gone; ///< VMs of the zone to deregister.
    bool writeBusy = false; ///< A registration is on its way.
    time_point nextWrite {}; ///< No registration before this.
    bool stopping = false; ///< Asked to stop.
    bool stopped = false; ///< agent_stopped was said.
    time_point stopUntil {}; ///< Ends then, whatever the store says.
    std::vector<waiting_fetch> waiting; ///< Fetches without news so far.
    agent_limits limits; ///< Bounds.
};

} // namespace lhub
