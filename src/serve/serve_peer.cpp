/** @file serve_peer.cpp Exchange of store objects between VMs: a VM gets updates from others if it follows watchers of the store
 *  instead of watching, if the store does not answer it, or if others know newer changes. */
#include "core/hash.h"
#include "core/json_fields.h"
#include "gossip/gossip_func.h"
#include "net/http_func.h"
#include "serve/serve_func.h"
#include "store_follow/store_follow_func.h"

namespace lhub {

/** Time between two checks whether other VMs know newer changes, and whether this VM watches the store or follows others. */
static constexpr milliseconds FollowInterval { 250 };
/** Time that the watch of this VM has to deliver a change that others know already; covers BatchPause and a call to the store. */
static constexpr milliseconds WatchGrace { 900 };
/** Longest time that a call for updates waits for a change; the response also shows that the other VM is alive and reaches the store. */
static constexpr milliseconds UpdateWait { 1000 };
/** Time-out of a call to another VM, in addition to the wait that it asks for. */
static constexpr milliseconds PeerCallTimeout { 500 };
/** A follower need not watch the store for this long after a response of a VM that is up to date: UpdateWait and PeerCallTimeout, with a margin. */
static constexpr milliseconds PeerAnswerLifetime { 1600 };
/** A VM announces the store as unreachable for this long after its last failed call; then it may be chosen as a watcher again. */
static constexpr milliseconds StoreFailureLifetime { 10'000 };
/** Pause after a failed call for updates, or one to a VM that is not up to date. */
static constexpr milliseconds PeerRetryPause { 250 };
/** Time for a seed to respond at the start of a VM. Enough for one in the same region; a more distant one is no faster than the store. */
static constexpr milliseconds JoinTimeout { 60 };
/** The same when the whole system starts for the first time: the seeds must read the store first. */
static constexpr milliseconds FirstJoinTimeout { 2000 };
/** Largest total size of objects that a VM sends to others at their start: many may start at once, over links of 10 Mbit/s. */
static constexpr std::size_t MaxJoinBytes = 262'144;
/** While the store does not answer this VM: time between two calls for updates. Calls are made even if no VM announces a newer revision,
 *  since the announced revisions do not show all deletions. */
static constexpr milliseconds OutageAskInterval { 1000 };
/** Maximum number of VMs called for one kind of objects in one check. */
static constexpr std::size_t MaxPeersAsked = 2;

static constexpr std::string_view UpdatesPath = "/v1/news"; ///< Path of calls for updates, the changes after given revisions.

known_revisions knownRevisions(const gate_shell& shell)
{
    known_revisions known {};
    for (std::size_t i = 0; i < known.size(); ++i)
        known[i] = shell.watchedKinds[i] ? shell.watchedKinds[i]->localCopy.held.revision : 0;
    return known;
}

void wakeUpdateWaiters(gate_shell& shell)
{
    const auto waiting = std::move(shell.updateWaiters);
    shell.updateWaiters.clear();
    for (const auto& weak : waiting) {
        if (const auto timer = weak.lock())
            timer->cancel();
    }
}

/** Whether this VM knows a change newer than @p since. */
static bool hasUpdates(const gate_shell& shell, const known_revisions& since)
{
    const auto known = knownRevisions(shell);
    for (std::size_t i = 0; i < known.size(); ++i) {
        if (known[i] > since[i])
            return true;
    }
    return false;
}

/** Waits until this VM knows a change newer than @p since, for @p wait at most. */
static asio::awaitable<void> awaitUpdates(gate_shell& shell, const known_revisions& since, milliseconds wait)
{
    if (wait.count() <= 0 || hasUpdates(shell, since))
        co_return;
    std::erase_if(shell.updateWaiters, [](const auto& weak) { return weak.expired(); });
    const auto timer = std::make_shared<asio::steady_timer>(shell.context, wait);
    shell.updateWaiters.push_back(timer);
    error_code woken; // wakeUpdateWaiters() cancels the wait.
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, woken));
}

/** Whether the objects held here are as current as those of a watcher: all kinds were read completely once, and either this VM watches the store, which
 *  answers, or a VM that it follows and that is up to date has responded within PeerAnswerLifetime. */
static bool isUpToDate(const gate_shell& shell)
{
    const bool sourceAnswers = shell.watchesStore ? shell.storeLostAt == time_point {} : shell.clock.now() - shell.peerAnsweredAt <= PeerAnswerLifetime;
    return sourceAnswers && std::all_of(shell.watchedKinds.begin(), shell.watchedKinds.end(), [](const auto& kind) { return kind && kind->localCopy.listed; });
}

/** Total size of all keys and values held. */
static std::size_t heldBytes(const gate_shell& shell)
{
    std::size_t bytes = 0;
    for (const auto& kind : shell.watchedKinds) {
        for (const auto& [key, object] : kind->localCopy.held.objects)
            bytes += key.size() + object.value.size();
    }
    return bytes;
}

/** Milliseconds since the store answered again after an outage; -1 when there was none. */
static std::int64_t msSinceStoreRecovery(const gate_shell& shell)
{
    return shell.storeRecoveredAt == time_point {} ? -1 : elapsed(shell.storeRecoveredAt, shell.clock.now()).count();
}

/** The update of one kind as JSON. */
static boost::json::value encodeUpdate(const mirror_update& update)
{
    boost::json::array gaps;
    for (const auto& gap : update.gaps)
        gaps.push_back({ gap.after, gap.until });
    boost::json::array objects;
    for (const auto& item : update.objects)
        objects.push_back({ { "key", item.key }, { "version", item.object.version }, { "deleted", item.object.deleted }, { "value", item.object.value } });
    return { { "scope", nameOf(UpdateScopeNames, update.scope) }, { "listed", update.listed }, { "complete", update.completeRevision }, { "gaps", std::move(gaps) }, { "objects", std::move(objects) } };
}

/** Responds to a call for updates with the changes after the revisions in its query, kind by kind. Waits for a change if there is none. */
static asio::awaitable<http_response> handleUpdateCall(gate_shell& shell, const std::string& target)
{
    auto query = queryOf(target);
    known_revisions since {};
    for (std::size_t i = 0; i < since.size(); ++i)
        since[i] = std::strtoull(query["since" + std::to_string(i)].c_str(), nullptr, 10);
    const milliseconds wait { std::strtoll(query["wait_ms"].c_str(), nullptr, 10) };
    co_await awaitUpdates(shell, since, std::min(wait, UpdateWait));
    // A VM that sends no revisions is starting, perhaps together with many others. It reads a large state from the store, and gets only the deletion history from here.
    const bool deletionsOnly = since == known_revisions {} && heldBytes(shell) > MaxJoinBytes;
    boost::json::array kinds;
    for (std::size_t i = 0; i < since.size(); ++i)
        kinds.push_back(encodeUpdate(deletionsOnly ? deletionHistoryOf(shell.watchedKinds[i]->localCopy) : updateSince(shell.watchedKinds[i]->localCopy, since[i])));
    std::vector<member_record> members;
    if (query["members"] == "1") {
        for (const auto* record : aliveMembers(shell.state.members, shell.state.gossip, shell.clock.now()))
            members.push_back(recordWithAge(shell.state.members, *record, shell.clock.now()));
    }
    const bool upToDate = !deletionsOnly && isUpToDate(shell);
    co_return makeResponse(http::status::ok, boost::json::serialize(boost::json::value { { "informed", upToDate }, { "store_lost", shell.watchesStore && shell.storeLostAt != time_point {} }, { "store_back_ms", msSinceStoreRecovery(shell) }, { "kinds", std::move(kinds) }, { "members", encodeMemberRecords(members) } }));
}

outcome<bool> startPeerServer(gate_shell& shell)
{
    return startServer(shell, shell.peerAcceptor, shell.settings.peerAddress, [&shell](const http_request& request) -> asio::awaitable<http_response> {
        const std::string target(request.target());
        if (pathOf(target) != UpdatesPath)
            co_return makeProblem(http::status::not_found, "no such call", "");
        auto answer = co_await handleUpdateCall(shell, target);
        co_return answer;
    });
}

/** The inverse of encodeUpdate(). Throws when the JSON is malformed. */
static mirror_update decodeUpdate(const boost::json::value& value)
{
    const auto& document = value.as_object();
    const auto scope = valueOf(UpdateScopeNames, document.at("scope").as_string());
    if (!scope)
        throw std::invalid_argument("scope");
    mirror_update update { *scope, document.at("listed").as_bool(), document.at("complete").to_number<std::uint64_t>(), {}, {} };
    for (const auto& gap : document.at("gaps").as_array())
        update.gaps.push_back({ gap.at(0).to_number<std::uint64_t>(), gap.at(1).to_number<std::uint64_t>() });
    for (const auto& item : document.at("objects").as_array()) {
        const auto& row = item.as_object();
        keyed_object object;
        object.key = std::string(row.at("key").as_string());
        object.object.version = row.at("version").to_number<std::uint64_t>();
        object.object.deleted = row.at("deleted").as_bool();
        object.object.value = std::string(row.at("value").as_string());
        update.objects.push_back(std::move(object));
    }
    return update;
}

/** Records what another VM reports about the store. @param ip of that VM. @param sinceRecovery time since the end of the last outage; negative for none. */
static void recordPeerStoreState(gate_shell& shell, const std::string& ip, bool storeLost, milliseconds sinceRecovery)
{
    // Endpoints whose entries expired during the outage get time to register again, at this VM as well; see removeEndpoint(). When this VM
    // has been up to date all along, only the other VM was cut off from the store, and deletions take effect at once.
    const bool wasUpToDate = shell.storeLostAt == time_point {} && isUpToDate(shell);
    if (sinceRecovery.count() >= 0 && !wasUpToDate)
        shell.storeRecoveredAt = std::max(shell.storeRecoveredAt, shell.clock.now() - sinceRecovery);
    if (!storeLost)
        return;
    for (auto& [name, member] : shell.state.members.members) {
        if (member.record.ip == ip && name != shell.settings.vm)
            member.record.storeReachable = false; // At once, before that VM's next record arrives.
    }
}

/** Applies the response of another VM to a call for updates. @return whether that VM is up to date. */
static bool applyPeerResponse(gate_shell& shell, const std::string& ip, const std::string& body)
{
    const auto parsed = parseJson(body);
    try {
        const auto& document = parsed.value.value().as_object();
        const auto& kinds = document.at("kinds").as_array();
        const bool upToDate = document.at("informed").as_bool();
        const auto members = decodeMemberRecords(document.at("members").as_string());
        recordPeerStoreState(shell, ip, document.at("store_lost").as_bool(), milliseconds(document.at("store_back_ms").to_number<std::int64_t>()));
        if (!members.empty())
            mergeMemberRecords(shell.state.members, members, members.front().vm, shell.clock.now());
        for (std::size_t i = 0; i < shell.watchedKinds.size(); ++i) {
            auto& kind = *shell.watchedKinds[i];
            const auto update = decodeUpdate(kinds.at(i));
            const bool first = upToDate && !kind.localCopy.listed;
            const auto since = kind.localCopy.completeRevision;
            noteStoreEra(shell, update.completeRevision);
            const auto changed = applyUpdate(kind.localCopy, update);
            kind.localCopy.listed = kind.localCopy.listed || upToDate;
            if (changed.empty() && !first)
                continue;
            ++shell.counters.peerUpdates;
            logEvent("relay", { { "from", ip }, { "kind", kind.keyPrefix }, { "since", std::to_string(since) }, { "scope", std::string(nameOf(UpdateScopeNames, update.scope)) }, { "objects", std::to_string(changed.size()) } }, shell.clock.now());
            publishChanges(shell, kind, changed);
        }
        return upToDate;
    } catch (const std::exception& error) {
        logEvent("relay", { { "from", ip }, { "reason", std::string("malformed: ") + error.what() } }, shell.clock.now());
        return false;
    }
}

/**
 * Calls another VM for updates and applies its response. @param wait how long that VM may wait for a change.
 * @param members whether to ask for its list of members, too. @return whether that VM is up to date.
 */
static asio::awaitable<bool> fetchUpdates(gate_shell& shell, std::string ip, milliseconds wait, bool members)
{
    const auto port = shell.settings.peerAddress.substr(shell.settings.peerAddress.rfind(':'));
    const auto address = parseAddress(ip + port);
    if (!address) {
        logEvent("relay", { { "from", ip }, { "reason", address.reason } }, shell.clock.now());
        co_return false;
    }
    std::string target(UpdatesPath);
    target += "?wait_ms=" + std::to_string(wait.count()) + (members ? "&members=1" : "");
    for (std::size_t i = 0; i < shell.watchedKinds.size(); ++i)
        target += "&since" + std::to_string(i) + "=" + std::to_string(shell.watchedKinds[i]->localCopy.listed ? shell.watchedKinds[i]->localCopy.completeRevision : 0);
    http_request request(http::verb::get, target, 11);
    request.set(http::field::host, ip);
    ++shell.counters.peerCalls;
    const auto reply = co_await httpCall(*address, std::move(request), wait + PeerCallTimeout);
    if (reply.result != http_result::ResponseReceived || reply.response.result() != http::status::ok) {
        ++shell.counters.peerCallFailures;
        logEvent("relay", { { "from", ip }, { "reason", reply.result == http_result::ResponseReceived ? "refused" : reply.reason } }, shell.clock.now());
        co_return false;
    }
    co_return applyPeerResponse(shell, ip, reply.response.body());
}

/** Newest revision that this VM knows; a VM that announces no newer one has nothing new for it. */
static std::uint64_t newestRevisionHere(const watched_kind& kind)
{
    return kind.localCopy.listed ? std::max(kind.localCopy.completeRevision, kind.localCopy.held.revision) : kind.localCopy.held.revision;
}

/** Live VMs that know newer changes of a kind: those of this region first, since traffic between regions is expensive; in each part, the newest revision first. */
static std::vector<const member_record*> membersAhead(const gate_shell& shell, const watched_kind& kind)
{
    std::vector<const member_record*> found;
    for (const auto* member : aliveMembers(shell.state.members, shell.state.gossip, shell.clock.now())) {
        if (member->vm != shell.settings.vm && member->knownRevisions[kind.index] > newestRevisionHere(kind))
            found.push_back(member);
    }
    const auto rank = [&](const member_record* record) { return std::pair(isSameRegion(shell.state.members, record->zone), record->knownRevisions[kind.index]); };
    std::sort(found.begin(), found.end(), [&](const auto* a, const auto* b) { return rank(a) > rank(b); });
    return found;
}

/** A live VM that reaches the store, for updates while the store does not answer this VM. In this region if there is one, and chosen anew for each call;
 *  null when none is needed or known. */
static const member_record* memberReachingStore(const gate_shell& shell)
{
    if (shell.storeLostAt == time_point {} || isUpToDate(shell))
        return nullptr;
    const member_record* best = nullptr;
    const auto salt = stableHash(shell.settings.vm, shell.counters.peerCalls);
    const auto rank = [&](const member_record& record) { return std::pair(isSameRegion(shell.state.members, record.zone), stableHash(record.vm, salt)); };
    for (const auto* record : aliveMembers(shell.state.members, shell.state.gossip, shell.clock.now())) {
        const bool eligible = record->vm != shell.settings.vm && record->storeReachable;
        if (eligible && (!best || rank(*record) > rank(*best)))
            best = record;
    }
    return best;
}

/** Calls VMs that know newer changes, once the watch or the followed VMs had time to deliver these; during an outage, also one that reaches the store. */
static void catchUp(gate_shell& shell)
{
    const auto now = shell.clock.now();
    std::set<std::string> asked;
    for (const auto& kind : shell.watchedKinds) {
        const auto ahead = membersAhead(shell, *kind);
        const auto known = ahead.empty() ? 0 : ahead.front()->knownRevisions[kind->index];
        const bool noGrace = !isUpToDate(shell) || !kind->localCopy.listed;
        if (!isLagging(kind->lag, newestRevisionHere(*kind), known, noGrace ? milliseconds(0) : WatchGrace, now))
            continue;
        for (std::size_t i = 0; i < ahead.size() && i < MaxPeersAsked; ++i)
            asked.insert(ahead[i]->ip);
    }
    if (const auto* member = memberReachingStore(shell); member && now - shell.peerAskedAt >= OutageAskInterval) {
        shell.peerAskedAt = now;
        asked.insert(member->ip);
    }
    for (const auto& ip : asked) {
        asio::co_spawn(shell.context, fetchUpdates(shell, ip, milliseconds(0), false), [](const std::exception_ptr&, bool) {});
    }
}

/** Calls one source of the follow plan for updates, again and again, while the plan is to follow. @param sourceIndex into follow_plan::sources. */
static asio::awaitable<void> followSource(gate_shell& shell, std::size_t sourceIndex)
{
    while (true) {
        if (shell.followPlan.watchesStore || sourceIndex >= shell.followPlan.sources.size()) {
            co_await pauseFor(FollowInterval);
            continue;
        }
        const bool upToDate = co_await fetchUpdates(shell, shell.followPlan.sources[sourceIndex], UpdateWait, false);
        if (upToDate)
            shell.peerAnsweredAt = shell.clock.now();
        else
            co_await pauseFor(PeerRetryPause);
    }
}

/** Decides whether this VM watches the store or follows others. It also watches when the followed VMs do not respond, unless the plan reports an outage of the store. */
static void decideRole(gate_shell& shell)
{
    const auto now = shell.clock.now();
    const bool storeFailedRecently = shell.storeLostAt != time_point {} && now - shell.storeFailedAt < StoreFailureLifetime;
    shell.state.members.members.at(shell.settings.vm).record.storeReachable = !storeFailedRecently;
    auto plan = planFollow(shell.state.members, shell.state.gossip, follow_settings {}, now);
    if (shell.followPlan.watchesStore && !plan.watchesStore)
        shell.peerAnsweredAt = now; // PeerAnswerLifetime starts now, so that the first call for updates has time to return.
    shell.followPlan = std::move(plan);
    const bool watches = shell.followPlan.watchesStore || (!shell.followPlan.storeOutage && now - shell.peerAnsweredAt > PeerAnswerLifetime);
    if (watches == shell.watchesStore)
        return;
    shell.watchesStore = watches;
    logEvent("follow", { { "role", watches ? "watcher" : "follower" }, { "planned", shell.followPlan.watchesStore ? "watcher" : "follower" } }, now);
    for (const auto& kind : shell.watchedKinds)
        kind->roleChanged.cancel();
}

/**
 * Calls all @p ips for updates at the same time and waits for the first VM that is up to date, for @p wait at most. Later responses
 * are applied, too. @return whether one was up to date.
 */
static asio::awaitable<bool> fetchFromFirst(gate_shell& shell, std::vector<std::string> ips, milliseconds wait)
{
    struct pending_calls {
        asio::steady_timer done; ///< Cancelled when one VM was up to date, or the last call has ended.
        std::size_t open = 0; ///< Calls that have not ended.
        bool upToDate = false; ///< One of the VMs was up to date.
    };
    const auto state = std::make_shared<pending_calls>(pending_calls { asio::steady_timer(shell.context, wait), ips.size(), false });
    for (const auto& ip : ips) {
        asio::co_spawn(shell.context, fetchUpdates(shell, ip, milliseconds(0), true), [state](const std::exception_ptr& error, bool upToDate) {
            state->upToDate = state->upToDate || (!error && upToDate);
            if (--state->open == 0 || state->upToDate)
                state->done.cancel();
        });
    }
    error_code woken; // Cancelling is the signal.
    if (!ips.empty())
        co_await state->done.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    co_return state->upToDate;
}

/** Fetches objects and members from the seeds before the store is asked, so that the start of a VM costs the store little. @return whether a seed was up to date. */
static asio::awaitable<bool> joinBySeeds(gate_shell& shell)
{
    const auto until = shell.clock.now() + (shell.settings.firstStart ? FirstJoinTimeout : JoinTimeout);
    std::vector<std::string> others;
    bool isSeed = false;
    for (const auto& seed : shell.settings.seeds) {
        const auto ip = seed.substr(0, seed.rfind(':'));
        isSeed = isSeed || ip == shell.settings.ip;
        if (ip != shell.settings.ip)
            others.push_back(ip);
    }
    if (others.empty() || (isSeed && shell.settings.firstStart))
        co_return false; // In a first start the seeds read the store, and the other VMs ask them.
    bool joined = false;
    while (!joined && shell.clock.now() < until) {
        joined = co_await fetchFromFirst(shell, others, elapsed(shell.clock.now(), until));
        if (!joined)
            co_await pauseFor(std::min(FollowInterval, elapsed(shell.clock.now(), until)));
    }
    co_return joined;
}

asio::awaitable<void> followStore(gate_shell& shell)
{
    const bool joined = co_await joinBySeeds(shell);
    logEvent("join", { { "by", joined ? "seed" : "store" } }, shell.clock.now());
    if (joined)
        decideRole(shell);
    else if (!shell.settings.firstStart)
        listMembers(shell);
    startWatches(shell);
    for (std::size_t sourceIndex = 0; sourceIndex < follow_settings {}.sources; ++sourceIndex)
        spawn(shell, "follow", followSource(shell, sourceIndex));
    while (true) {
        co_await pauseFor(FollowInterval);
        decideRole(shell);
        catchUp(shell);
    }
}

} // namespace lhub
