/** @file agent.cpp Configuration from the store or from peers, to the entry process and to followers. */
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

/** Agents of the zone in the order in which they watch the store. */
static std::vector<std::string> zoneOrder(const agent_state& state)
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
    constexpr std::uint32_t FailuresToTurnToStore = 3;
    if (!state.ready || state.peerFailures >= FailuresToTurnToStore)
        return agent_source::Store;
    const auto names = zoneOrder(state);
    const auto rank = std::find(names.begin(), names.end(), state.self.name) - names.begin();
    const bool registered = rank < static_cast<std::ptrdiff_t>(names.size());
    if (!registered || rank < static_cast<std::ptrdiff_t>(state.limits.watchersPerZone))
        return agent_source::Store;
    return agent_source::Peer;
}

/** Agents to ask, best first: the zone's watchers when following, otherwise everybody known. */
static std::vector<std::string> peersToAsk(const agent_state& state)
{
    std::vector<std::string> addresses;
    for (const auto& name : zoneOrder(state)) {
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

static void answerFetch(const agent_state& state, const waiting_fetch& fetch, agent_effects& effects)
{
    reply_fetch reply { fetch.callId, state.complete, objectsSince(state.config, fetch.since),
        elapsed(state.confirmedAt, state.present) };
    effects.push_back(std::move(reply));
}

/** Answers the waiting fetches that have news or have waited long enough. */
static void answerWaiting(agent_state& state, agent_effects& effects)
{
    std::vector<waiting_fetch> left;
    for (const auto& fetch : state.waiting) {
        const bool news = state.ready && state.complete > fetch.since;
        if (news || state.present >= fetch.until || state.stopping)
            answerFetch(state, fetch, effects);
        else
            left.push_back(fetch);
    }
    state.waiting.swap(left);
}

/** Merges news. Only ever raises versions, so it does not matter whom they come from. */
static void mergeNews(
    agent_state& state, const std::vector<keyed_object>& objects, std::uint64_t revision, agent_effects& effects)
{
    for (const auto& item : objects) {
        if (mergeObject(state.config, item.key, item.object))
            applyObject(state.view, item.key, item.object);
    }
    if (revision <= state.complete)
        return;
    state.complete = revision;
    state.config.revision = revision;
    if (!objects.empty())
        logChange(effects, "config=held revision=" + std::to_string(revision));
}

/** A failed call doubles the pause; part of it depends on the VM, so that VMs do not call in step. */
static void growPause(agent_state& state)
{
    constexpr int JitterSteps = 64;
    state.pause = std::clamp(state.pause * 2, state.limits.retryFirst, state.limits.retryLast);
    const auto jitter = state.pause * static_cast<int>(stableHash(state.self.name) % JitterSteps) / JitterSteps;
    state.nextWatch = state.present + state.pause / 2 + jitter / 2;
}

static void onWatched(agent_state& state, const store_watched& event, agent_effects& effects)
{
    state.storeBusy = false;
    if (event.reply.result != store_result::Done) {
        if (state.storeUp)
            logChange(effects, "store=unreachable reason=\"" + event.reply.reason + "\"");
        state.storeUp = false;
        growPause(state);
        return;
    }
    if (!state.storeUp)
        logChange(effects, "store=reachable");
    state.storeUp = true;
    state.ready = true;
    state.pause = milliseconds(0);
    state.peerFailures = 0;
    state.confirmedAt = std::max(state.confirmedAt, event.askedAt);
    mergeNews(state, event.reply.objects, event.reply.revision, effects);
}

static void onFetched(agent_state& state, const peer_fetched& event, agent_effects& effects)
{
    state.peerBusy = false;
    ++state.peersAsked;
    ++state.peerTurn;
    if (!event.reached) {
        ++state.peerFailures;
        state.nextFetch = state.present + state.limits.retryFirst;
        return;
    }
    state.peerFailures = 0;
    if (sourceOf(state) != agent_source::Peer)
        state.nextFetch = state.present + state.limits.peerEvery;
    const bool allAsked = state.peersAsked >= peersToAsk(state).size();
    state.confirmedAt = std::max(state.confirmedAt, event.askedAt - event.age);
    mergeNews(state, event.objects, event.revision, effects);
    if (!state.ready && allAsked && state.complete > 0) {
        state.ready = true;
        logChange(effects, "ready=true source=peers");
    }
}

static void onFetch(agent_state& state, const fetch_arrived& event, agent_effects& effects)
{
    if (event.fromEntry) {
        state.entryHeard = state.present;
        state.entrySeen = true;
        state.entryLeaving = event.entryLeaving;
        state.gone = event.gone;
    }
    state.waiting.push_back({ event.callId, event.since, state.present + event.wait });
    answerWaiting(state, effects);
}

/** What the store should say of this VM now; nothing when it should not be registered. */
static std::optional<vm_config> wantedRegistration(const agent_state& state)
{
    if (state.stopping || !state.entrySeen)
        return std::nullopt;
    auto wanted = state.self;
    wanted.leaving = state.entryLeaving || elapsed(state.entryHeard, state.present) > state.limits.entrySilence;
    return wanted;
}

/** The write that brings the store's registration in line; nothing when it is. */
static std::optional<store_request> registrationWrite(const agent_state& state)
{
    const auto key = "vm/" + state.self.name;
    const auto found = state.config.objects.find(key);
    const bool present = found != state.config.objects.end() && !found->second.deleted;
    const auto version = present ? found->second.version : 0;
    const auto wanted = wantedRegistration(state);
    if (!wanted) {
        if (!present || !state.stopping)
            return std::nullopt;
        return store_request { store_operation::Remove, storeKey(key), {}, version, 0, milliseconds(0) };
    }
    const json::value value = { { "spec", writeFields(vmFields(), *wanted) } };
    auto text = json::serialize(value);
    if (present && found->second.value == text)
        return std::nullopt;
    return store_request { store_operation::Put, storeKey(key), std::move(text), version, 0, milliseconds(0) };
}

/**
 * The delete that takes a dead VM of the zone out of the configuration; nothing when none is registered. A VM that was
 * taken for dead by mistake registers itself again.
 */
static std::optional<store_request> removalWrite(const agent_state& state)
{
    for (const auto& name : state.gone) {
        const auto vm = state.view.vms.find(name);
        if (vm == state.view.vms.end() || vm->second.zone != state.self.zone || name == state.self.name)
            continue;
        const auto key = "vm/" + name;
        const auto version = state.config.objects.at(key).version;
        return store_request { store_operation::Remove, storeKey(key), {}, version, 0, milliseconds(0) };
    }
    return std::nullopt;
}

/** Writes the registration when it differs and the store was reachable of late; then takes out a dead VM. */
static void maintainRegistration(agent_state& state, agent_effects& effects)
{
    if (state.writeBusy || state.present < state.nextWrite || !state.ready || !state.storeUp)
        return;
    auto request = registrationWrite(state);
    if (!request && !state.stopping)
        request = removalWrite(state);
    if (!request)
        return;
    state.writeBusy = true;
    state.nextWrite = state.present + state.limits.writeEvery;
    effects.push_back(write_registration { std::move(*request) });
}

static void onWritten(agent_state& state, const registration_written& event, agent_effects& effects)
{
    state.writeBusy = false;
    if (event.reply.result == store_result::Done) {
        logChange(effects, "registration=written version=" + std::to_string(event.reply.object.version));
        return;
    }
    // Conflict, a lost reply or an outage: the watch brings what is there, and the next tick compares again.
    state.nextWrite = state.present + state.limits.writeEvery * 2;
}

/** Starts the watch or fetch that is due. */
static void maintainSource(agent_state& state, agent_effects& effects)
{
    const bool follow = sourceOf(state) == agent_source::Peer;
    if (!follow && !state.storeBusy && state.present >= state.nextWatch) {
        state.storeBusy = true;
        const auto wait = state.ready && state.storeUp ? state.limits.watchWait : milliseconds(0);
        effects.push_back(watch_store { state.complete, wait });
    }
    const bool fallBack = !state.storeUp;
    if ((!follow && !fallBack) || state.peerBusy || state.present < state.nextFetch)
        return;
    const auto peers = peersToAsk(state);
    if (peers.empty())
        return;
    state.peerBusy = true;
    const auto wait = follow ? state.limits.watchWait : milliseconds(0);
    effects.push_back(fetch_peer { peers[state.peerTurn % peers.size()], state.complete, wait });
}

/** Ends the stop once the registration is gone, or when its time is up. */
static void finishStop(agent_state& state, agent_effects& effects)
{
    if (!state.stopping || state.stopped)
        return;
    const bool registered = registrationWrite(state).has_value() || state.writeBusy;
    if (registered && state.present < state.stopUntil)
        return;
    state.stopped = true;
    effects.push_back(agent_stopped {});
}

static void onStop(agent_state& state, agent_effects& effects)
{
    constexpr seconds LongestStop { 5 };
    if (state.stopping)
        return;
    state.stopping = true;
    state.stopUntil = state.present + LongestStop;
    logChange(effects, "stop=asked");
}

namespace {

    /** Calls the step for each kind of event. */
    struct agent_visitor {
        agent_state& state; ///< What it works on.
        agent_effects& effects; ///< What it brings about.

        void operator()(const agent_tick&) const { finishStop(state, effects); }
        void operator()(const store_watched& event) const { onWatched(state, event, effects); }
        void operator()(const peer_fetched& event) const { onFetched(state, event, effects); }
        void operator()(const fetch_arrived& event) const { onFetch(state, event, effects); }
        void operator()(const registration_written& event) const { onWritten(state, event, effects); }
        void operator()(const agent_stop_asked&) const { onStop(state, effects); }
    };

} // namespace

void reduceAgent(agent_state& state, time_point now, const agent_event& event, agent_effects& effects)
{
    state.present = std::max(state.present, now);
    std::visit(agent_visitor { state, effects }, event);
    answerWaiting(state, effects);
    if (!state.stopped)
        maintainSource(state, effects);
    maintainRegistration(state, effects);
}

} // namespace lhub
