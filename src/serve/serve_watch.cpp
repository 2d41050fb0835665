/** @file serve_watch.cpp Watches the store and applies its changes of configuration, endpoints and evacuations. */
#include "platform/objects.h"
#include "serve/serve_func.h"
#include "store_follow/store_follow_func.h"

namespace lhub {

/** Pause after a change, so that one call brings several changes in quick succession; a fifth of the time within which a change
 *  must be in force. */
static constexpr milliseconds BatchPause { 500 };
/** Pause after a first failed call; leaves time for another VM to become the watcher instead. */
static constexpr milliseconds FirstRetryPause { 300 };
/** Longest pause after a failed call; the pause doubles up to this with each further failure. */
static constexpr milliseconds LongestRetryPause { 1000 };
/** Time after an outage or a restoration of the store in which deleted endpoints are kept: those whose entries expired or were lost register
 *  again within about two seconds. After a restoration, evacuations are kept for the same time, until the operator has written them again. */
static constexpr milliseconds EndpointReturnTime { 2200 };
/** Most tombstones kept per kind, about 100 bytes each. Holds the changes of an hour at 1,700 replaced VMs and 12,000 changes a day. */
static constexpr std::size_t MaxTombstones = 1000;

/** Keeps track of outages of the store by the results of calls to it. */
static void recordStoreResult(gate_shell& shell, const store_reply& reply)
{
    const auto now = shell.clock.now();
    const bool lost = reply.result == store_result::Refused || reply.result == store_result::Unknown;
    if (lost)
        shell.storeFailedAt = now;
    if (lost && shell.storeLostAt == time_point {}) {
        shell.storeLostAt = now;
        logEvent("store", { { "state", "lost" }, { "reason", reply.reason } }, now);
    }
    if (!lost && shell.storeLostAt != time_point {}) {
        logEvent("store", { { "state", "regained" }, { "after_ms", std::to_string(elapsed(shell.storeLostAt, now).count()) } }, now);
        shell.storeLostAt = {};
        shell.storeRecoveredAt = now;
    }
}

void noteStoreEra(gate_shell& shell, std::uint64_t revision)
{
    const auto era = platform::eraOf(revision);
    if (revision == 0 || (shell.storeEra && era <= *shell.storeEra))
        return;
    const bool restored = shell.storeEra.has_value();
    shell.storeEra = era;
    if (!restored)
        return;
    const auto now = shell.clock.now();
    logEvent("store", { { "state", "restored" }, { "era", std::to_string(era) } }, now);
    shell.storeRestoredAt = now;
    shell.storeRecoveredAt = now; // Endpoints that registered after the snapshot get time to do so again.
    processEvent(shell, store_restored {});
    registerAgain(shell);
}

void publishChanges(gate_shell& shell, watched_kind& kind, const std::vector<keyed_object>& changed)
{
    for (const auto& item : changed)
        kind.onObject(item);
    kind.onBatch();
    pruneTombstones(kind.localCopy, MaxTombstones);
    wakeUpdateWaiters(shell);
    shell.state.members.members.at(shell.settings.vm).record.knownRevisions = knownRevisions(shell);
}

/** Calls the store and waits for the reply. */
static asio::awaitable<store_reply> callStore(gate_shell& shell, const store_request& request)
{
    struct pending {
        std::optional<store_reply> reply; ///< Set by the callback.
        asio::steady_timer done; ///< Cancelled by the callback to signal that the reply is set.
    };
    const auto call = std::make_shared<pending>(pending { std::nullopt, asio::steady_timer(shell.context, time_point::max()) });
    shell.store->call(request, [call](store_reply reply) {
        call->reply = std::move(reply);
        call->done.cancel();
    });
    error_code cancelled; // Cancelling is the signal.
    while (!call->reply)
        co_await call->done.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    co_return std::move(*call->reply);
}

/** Reads one kind from the store while this VM watches it: lists all objects once, then waits for changes. */
static asio::awaitable<void> watchKind(gate_shell& shell, std::shared_ptr<watched_kind> kind)
{
    while (true) {
        if (!shell.watchesStore) {
            error_code woken; // decideRole() cancels the wait when the role changes.
            co_await kind->roleChanged.async_wait(asio::redirect_error(asio::use_awaitable, woken));
            continue;
        }
        store_request request;
        request.operation = store_operation::Watch;
        request.key = kind->keyPrefix;
        request.since = kind->localCopy.listed && !kind->historyGone ? kind->localCopy.completeRevision : 0;
        if (request.since != 0) {
            const auto times = planWatch(shell.settings.bounds.stabilityTime, shell.storeLostAt != time_point {});
            request.wait = times.wait;
            request.timeout = times.answer;
        }
        const auto calledAt = shell.clock.now();
        const auto reply = co_await callStore(shell, request);
        recordStoreResult(shell, reply);
        if (reply.result == store_result::HistoryGone) {
            logEvent("watch", { { "kind", kind->keyPrefix }, { "outcome", "history gone, listing" } }, shell.clock.now());
            kind->historyGone = true;
            continue;
        }
        if (reply.result != store_result::Done) {
            logEvent("watch", { { "kind", kind->keyPrefix }, { "outcome", "no answer" }, { "reason", reply.reason }, { "since", std::to_string(request.since) }, { "after_ms", std::to_string(elapsed(calledAt, shell.clock.now()).count()) } }, shell.clock.now());
            kind->retryPause = std::clamp(kind->retryPause * 2, FirstRetryPause, LongestRetryPause);
            co_await pauseFor(kind->retryPause);
            continue;
        }
        kind->retryPause = milliseconds(0);
        kind->historyGone = false;
        kind->answeredAt = shell.clock.now();
        const bool hasChanges = !reply.objects.empty();
        noteStoreEra(shell, reply.revision);
        const auto changed = request.since == 0 ? applyList(kind->localCopy, reply.objects, reply.revision) : applyChanges(kind->localCopy, reply.objects, reply.revision);
        publishChanges(shell, *kind, changed);
        if (hasChanges && request.since != 0)
            co_await pauseFor(BatchPause);
    }
}

/** Counts and logs an object, or a part of one, that cannot be parsed. If it is a whole object, its last valid version stays in force. */
static void rejectObject(gate_shell& shell, const std::string& key, const std::string& reason)
{
    ++shell.counters.rejectedObjects;
    logEvent("object_rejected", { { "key", key }, { "reason", reason } }, shell.clock.now());
}

/** Puts a newer configuration in force; a deletion is ignored. */
static void applyConfig(gate_shell& shell, const keyed_object& item)
{
    if (item.key != platform::ConfigKey || item.object.deleted || item.object.version <= shell.state.configRevision)
        return;
    auto config = platform::decodeConfig(item.object.value);
    if (!config) {
        rejectObject(shell, item.key, config.reason);
        return;
    }
    for (const auto& fault : config->faults)
        rejectObject(shell, item.key, fault);
    processEvent(shell, config_received { std::make_shared<const route_table>(makeRouteTable(std::move(*config))), item.object.version });
}

/** Removes a deleted endpoint; within EndpointReturnTime after an outage or a restoration of the store only at the end of that time, unless it is back by then. */
static void removeEndpoint(gate_shell& shell, const std::shared_ptr<watched_kind>& kind, const keyed_object& item)
{
    const auto now = shell.clock.now();
    const auto id = item.key.substr(kind->keyPrefix.size());
    const auto until = shell.storeRecoveredAt + EndpointReturnTime;
    if (shell.storeRecoveredAt == time_point {} || now >= until) {
        processEvent(shell, endpoint_removed { id });
        return;
    }
    auto removeAfterWait = [](gate_shell& shell, std::shared_ptr<watched_kind> kind, std::string key, std::string id, milliseconds wait) -> asio::awaitable<void> {
        co_await pauseFor(wait);
        const auto held = kind->localCopy.held.objects.find(key);
        if (held == kind->localCopy.held.objects.end() || held->second.deleted)
            processEvent(shell, endpoint_removed { id });
    };
    const auto wait = std::chrono::duration_cast<milliseconds>(until - now) + milliseconds(1);
    spawn(shell, "remove_endpoint", removeAfterWait(shell, kind, item.key, id, wait));
}

/** Applies a changed or deleted endpoint. */
static void applyEndpoint(gate_shell& shell, const std::shared_ptr<watched_kind>& kind, const keyed_object& item)
{
    if (item.object.deleted) {
        removeEndpoint(shell, kind, item);
        return;
    }
    auto entry = platform::decodeEndpoint(item.key.substr(kind->keyPrefix.size()), item.object.value);
    if (!entry) {
        rejectObject(shell, item.key, entry.reason);
        return;
    }
    processEvent(shell, endpoint_updated { std::move(*entry) });
}

/** Passes the set of evacuated zones to the reducer. Within EndpointReturnTime after a restoration of the store none is taken back before the end of that time. */
static void applyEvacuations(gate_shell& shell, const std::shared_ptr<watched_kind>& kind)
{
    std::set<std::string> zones;
    for (const auto& [key, object] : kind->localCopy.held.objects) {
        if (!object.deleted)
            zones.insert(key.substr(kind->keyPrefix.size()));
    }
    const auto now = shell.clock.now();
    const auto until = shell.storeRestoredAt + EndpointReturnTime;
    const auto& inForce = shell.state.evacuatedZones;
    const bool endsOne = !std::includes(zones.begin(), zones.end(), inForce.begin(), inForce.end());
    if (endsOne && shell.storeRestoredAt != time_point {} && now < until) {
        zones.insert(inForce.begin(), inForce.end());
        auto applyAfterWait = [](gate_shell& shell, std::shared_ptr<watched_kind> kind, milliseconds wait) -> asio::awaitable<void> {
            co_await pauseFor(wait);
            applyEvacuations(shell, kind);
        };
        spawn(shell, "apply_evacuations", applyAfterWait(shell, kind, elapsed(now, until) + milliseconds(1)));
    }
    processEvent(shell, evacuations_updated { std::move(zones) });
}

/** Makes a kind whose callbacks do nothing, and enters it in gate_shell::watchedKinds. */
static std::shared_ptr<watched_kind> makeWatchedKind(gate_shell& shell, std::size_t index, std::string_view prefix)
{
    auto kind = std::make_shared<watched_kind>(shell.context);
    kind->keyPrefix = prefix;
    kind->index = index;
    kind->onObject = [](const keyed_object&) {};
    kind->onBatch = [] {};
    shell.watchedKinds[index] = kind;
    return kind;
}

void makeWatchedKinds(gate_shell& shell)
{
    const auto config = makeWatchedKind(shell, 0, platform::ConfigPrefix);
    config->onObject = [&shell](const keyed_object& item) { applyConfig(shell, item); };
    const auto endpoints = makeWatchedKind(shell, 1, platform::EndpointPrefix);
    endpoints->onObject = [&shell, weak = std::weak_ptr(endpoints)](const keyed_object& item) { applyEndpoint(shell, weak.lock(), item); };
    endpoints->onBatch = [&shell] { processEvent(shell, endpoints_listed {}); };
    const auto evacuations = makeWatchedKind(shell, 2, platform::EvacuationPrefix);
    evacuations->onBatch = [&shell, weak = std::weak_ptr(evacuations)] { applyEvacuations(shell, weak.lock()); };
}

void startWatches(gate_shell& shell)
{
    for (const auto& kind : shell.watchedKinds)
        spawn(shell, "watch", watchKind(shell, kind));
}

} // namespace lhub
