/**
 * @file agent.cpp Gets the configuration from the store or from peers, passes it to the entry process and to following
 * agents, and registers this VM in the store.
 */
#include "agent/agent_func.h"

#include "config/config_func.h"
#include "core/hash.h"
#include <algorithm>

namespace lhub {

agent_state makeAgent(const vm_config& self, const std::vector<std::string>& seeds)
{
    agent_state state;
    state.self = self;
    state.seeds = seeds;
    return state;
}

static void logChange(agent_effects& effects, std::string text) { effects.push_back(agent_log { std::move(text) }); }

/** VMs of the zone in their order as watchers: the agents of the first ones watch the store. */
static std::vector<std::string> watcherOrder(const agent_state& state)
{
    std::vector<rendezvous_candidate> candidates;
    for (const auto& [name, vm] : state.view.vms) {
        if (vm.zone == state.self.zone && !vm.leaving)
            candidates.push_back({ name, 1 });
    }
    std::vector<std::string> names;
    for (const auto position : rendezvousOrder(stableHash(state.self.zone), candidates))
        names.emplace_back(candidates[position].name);
    return names;
}

agent_source sourceOf(const agent_state& state)
{
    constexpr std::uint32_t FailedFetchesBeforeStore = 3;
    if (!state.ready || state.failedFetches >= FailedFetchesBeforeStore)
        return agent_source::Store;
    const auto names = watcherOrder(state);
    const auto rank = std::find(names.begin(), names.end(), state.self.name) - names.begin();
    const bool registered = rank < static_cast<std::ptrdiff_t>(names.size());
    if (!registered || rank < static_cast<std::ptrdiff_t>(state.limits.watchersPerZone))
        return agent_source::Store;
    return agent_source::Peer;
}

/**
 * Addresses of the agents to fetch from, best first: the watchers of the zone when following, otherwise the agents of
 * the zone and then the seeds.
 */
static std::vector<std::string> peersToFetchFrom(const agent_state& state)
{
    std::vector<std::string> addresses;
    for (const auto& name : watcherOrder(state)) {
        if (name != state.self.name)
            addresses.push_back(state.view.vms.at(name).agent);
    }
    if (sourceOf(state) == agent_source::Peer) {
        addresses.resize(std::min<std::size_t>(addresses.size(), state.limits.watchersPerZone));
        return addresses;
    }
    for (const auto& seed : state.seeds) {
        if (seed != state.self.agent && std::find(addresses.begin(), addresses.end(), seed) == addresses.end())
            addresses.push_back(seed);
    }
    return addresses;
}

static void replyToFetch(const agent_state& state, const waiting_fetch& fetch, agent_effects& effects)
{
    reply_fetch reply { fetch.callId, state.completeRevision, objectsSince(state.config, fetch.since),
        elapsed(state.confirmedAt, state.lastEventAt) };
    effects.push_back(std::move(reply));
}

/** Replies to the fetches for which there is a change or whose wait is over, and to all of them when stopping. */
static void replyToWaitingFetches(agent_state& state, agent_effects& effects)
{
    std::vector<waiting_fetch> remaining;
    for (const auto& fetch : state.waitingFetches) {
        const bool changed = state.ready && state.completeRevision > fetch.since;
        if (changed || state.lastEventAt >= fetch.expiresAt || state.stopping)
            replyToFetch(state, fetch, effects);
        else
            remaining.push_back(fetch);
    }
    state.waitingFetches.swap(remaining);
}

/** Merges changed objects. Versions only rise, so the source of the changes does not matter. */
static void mergeChanges(
    agent_state& state, const std::vector<keyed_object>& objects, std::uint64_t revision, agent_effects& effects)
{
    for (const auto& item : objects) {
        if (mergeObject(state.config, item.key, item.object))
            applyObject(state.view, item.key, item.object);
    }
    if (revision <= state.completeRevision)
        return;
    state.completeRevision = revision;
    state.config.revision = revision;
    if (!objects.empty())
        logChange(effects, "config=held revision=" + std::to_string(revision));
}

/**
 * Doubles the delay after a failed watch. The next watch starts after half of the delay plus a part of the other half
 * that depends on the VM's name, so that VMs don't retry at the same time.
 */
static void increaseRetryDelay(agent_state& state)
{
    constexpr int JitterSteps = 64;
    state.retryDelay = std::clamp(state.retryDelay * 2, state.limits.minRetryDelay, state.limits.maxRetryDelay);
    const auto jitter = state.retryDelay * static_cast<int>(stableHash(state.self.name) % JitterSteps) / JitterSteps;
    state.nextWatchAt = state.lastEventAt + state.retryDelay / 2 + jitter / 2;
}

static void onStoreWatched(agent_state& state, const store_watched& event, agent_effects& effects)
{
    state.watchPending = false;
    if (event.reply.result != store_result::Done) {
        if (state.storeReachable)
            logChange(effects, "store=unreachable reason=\"" + event.reply.reason + "\"");
        state.storeReachable = false;
        increaseRetryDelay(state);
        return;
    }
    if (!state.storeReachable)
        logChange(effects, "store=reachable");
    state.storeReachable = true;
    state.ready = true;
    state.retryDelay = milliseconds(0);
    state.failedFetches = 0;
    state.confirmedAt = std::max(state.confirmedAt, event.askedAt);
    mergeChanges(state, event.reply.objects, event.reply.revision, effects);
}

static void onPeerFetched(agent_state& state, const peer_fetched& event, agent_effects& effects)
{
    state.fetchPending = false;
    ++state.fetchesEnded;
    ++state.nextPeer;
    if (!event.reached) {
        ++state.failedFetches;
        state.nextFetchAt = state.lastEventAt + state.limits.minRetryDelay;
        return;
    }
    state.failedFetches = 0;
    if (sourceOf(state) != agent_source::Peer)
        state.nextFetchAt = state.lastEventAt + state.limits.peerFetchInterval;
    const bool allAsked = state.fetchesEnded >= peersToFetchFrom(state).size();
    state.confirmedAt = std::max(state.confirmedAt, event.askedAt - event.age);
    mergeChanges(state, event.objects, event.revision, effects);
    if (!state.ready && allAsked && state.completeRevision > 0) {
        state.ready = true;
        logChange(effects, "ready=true source=peers");
    }
}

static void onFetchArrived(agent_state& state, const fetch_arrived& event, agent_effects& effects)
{
    if (event.fromEntry) {
        state.entryFetchedAt = state.lastEventAt;
        state.entryHasFetched = true;
        state.entryLeaving = event.entryLeaving;
        state.vmsToDeregister = event.gone;
    }
    state.waitingFetches.push_back({ event.callId, event.since, state.lastEventAt + event.wait });
    replyToWaitingFetches(state, effects);
}

/**
 * The registration that the store should hold for this VM; nothing when stopping and before the first fetch of the
 * entry process.
 */
static std::optional<vm_config> targetRegistration(const agent_state& state)
{
    if (state.stopping || !state.entryHasFetched)
        return std::nullopt;
    auto target = state.self;
    target.leaving = state.entryLeaving || elapsed(state.entryFetchedAt, state.lastEventAt) > state.limits.entryTimeout;
    return target;
}

/**
 * The write after which the store holds the target registration; nothing when it holds it already. Before the first
 * fetch of the entry process a registration in the store is left as it is, unless the agent is stopping.
 */
static std::optional<store_request> ownRegistrationWrite(const agent_state& state)
{
    const auto key = "vm/" + state.self.name;
    const auto found = state.config.objects.find(key);
    const bool registered = found != state.config.objects.end() && !found->second.deleted;
    const auto version = registered ? found->second.version : 0;
    const auto target = targetRegistration(state);
    if (!target) {
        if (!registered || !state.stopping)
            return std::nullopt;
        return store_request { store_operation::Remove, storeKey(key), {}, version, 0, milliseconds(0) };
    }
    const json::value value = { { "spec", writeFields(vmFields(), *target) } };
    auto text = json::serialize(value);
    if (registered && found->second.value == text)
        return std::nullopt;
    return store_request { store_operation::Put, storeKey(key), std::move(text), version, 0, milliseconds(0) };
}

/**
 * The delete that removes a dead VM of the zone from the store; nothing when none is registered. A VM that was removed
 * by mistake registers itself again.
 */
static std::optional<store_request> deadVmRemoval(const agent_state& state)
{
    for (const auto& name : state.vmsToDeregister) {
        const auto vm = state.view.vms.find(name);
        if (vm == state.view.vms.end() || vm->second.zone != state.self.zone || name == state.self.name)
            continue;
        const auto key = "vm/" + name;
        const auto version = state.config.objects.at(key).version;
        return store_request { store_operation::Remove, storeKey(key), {}, version, 0, milliseconds(0) };
    }
    return std::nullopt;
}

/**
 * If the last watch succeeded: writes or removes this VM's registration if that is due; otherwise, unless the agent is
 * stopping, removes a dead VM.
 */
static void writeDueRegistration(agent_state& state, agent_effects& effects)
{
    if (state.writePending || state.lastEventAt < state.nextWriteAt || !state.ready || !state.storeReachable)
        return;
    auto request = ownRegistrationWrite(state);
    if (!request && !state.stopping)
        request = deadVmRemoval(state);
    if (!request)
        return;
    state.writePending = true;
    state.nextWriteAt = state.lastEventAt + state.limits.minWriteInterval;
    effects.push_back(write_registration { std::move(*request) });
}

static void onRegistrationWritten(agent_state& state, const registration_written& event, agent_effects& effects)
{
    state.writePending = false;
    if (event.reply.result == store_result::Done) {
        logChange(effects, "registration=written version=" + std::to_string(event.reply.object.version));
        return;
    }
    // Conflict, a lost reply or an outage: the watch gets the current registration, and a later event compares again.
    state.nextWriteAt = state.lastEventAt + state.limits.minWriteInterval * 2;
}

/** Starts the watch of the store and the fetch from a peer that are due. */
static void requestDueChanges(agent_state& state, agent_effects& effects)
{
    const bool following = sourceOf(state) == agent_source::Peer;
    if (!following && !state.watchPending && state.lastEventAt >= state.nextWatchAt) {
        state.watchPending = true;
        const auto wait = state.ready && state.storeReachable ? state.limits.maxWatchWait : milliseconds(0);
        effects.push_back(watch_store { state.completeRevision, wait });
    }
    const bool storeFails = !state.storeReachable;
    if ((!following && !storeFails) || state.fetchPending || state.lastEventAt < state.nextFetchAt)
        return;
    const auto peers = peersToFetchFrom(state);
    if (peers.empty())
        return;
    state.fetchPending = true;
    const auto wait = following ? state.limits.maxWatchWait : milliseconds(0);
    effects.push_back(fetch_peer { peers[state.nextPeer % peers.size()], state.completeRevision, wait });
}

/** Issues agent_stopped once the registration is removed, or at the stop's deadline. */
static void finishStop(agent_state& state, agent_effects& effects)
{
    if (!state.stopping || state.stopped)
        return;
    const bool removalPending = ownRegistrationWrite(state).has_value() || state.writePending;
    if (removalPending && state.lastEventAt < state.stopDeadline)
        return;
    state.stopped = true;
    effects.push_back(agent_stopped {});
}

static void onStopAsked(agent_state& state, agent_effects& effects)
{
    constexpr seconds MaxStopTime { 5 };
    if (state.stopping)
        return;
    state.stopping = true;
    state.stopDeadline = state.lastEventAt + MaxStopTime;
    logChange(effects, "stop=asked");
}

namespace {

    /** Calls the handler of the event's type. */
    struct agent_visitor {
        agent_state& state; ///< The state that the event changes.
        agent_effects& effects; ///< Effects are appended here.

        void operator()(const agent_tick&) const { finishStop(state, effects); }
        void operator()(const store_watched& event) const { onStoreWatched(state, event, effects); }
        void operator()(const peer_fetched& event) const { onPeerFetched(state, event, effects); }
        void operator()(const fetch_arrived& event) const { onFetchArrived(state, event, effects); }
        void operator()(const registration_written& event) const { onRegistrationWritten(state, event, effects); }
        void operator()(const agent_stop_asked&) const { onStopAsked(state, effects); }
    };

} // namespace

void reduceAgent(agent_state& state, time_point now, const agent_event& event, agent_effects& effects)
{
    state.lastEventAt = std::max(state.lastEventAt, now);
    std::visit(agent_visitor { state, effects }, event);
    replyToWaitingFetches(state, effects);
    if (!state.stopped)
        requestDueChanges(state, effects);
    writeDueRegistration(state, effects);
}

} // namespace lhub
