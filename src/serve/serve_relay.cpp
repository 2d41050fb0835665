/** @file serve_relay.cpp What VMs tell each other of the store: to those that follow instead of watching, and to those that
 *  the store does not answer. */
#include "core/hash.h"
#include "core/json_fields.h"
#include "follow/follow_func.h"
#include "gossip/gossip_func.h"
#include "net/http_func.h"
#include "serve/serve_func.h"

namespace lhub {

/** Between two looks at what other VMs know, and at whom to follow. */
static constexpr milliseconds FollowPause { 250 };
/** Time that the own watch has to bring what others know already: its pause for gathering and a call. */
static constexpr milliseconds WatchGrace { 900 };
/** Longest wait of a call for news; its answer also shows that the other VM lives and reaches the store. */
static constexpr milliseconds NewsWait { 1000 };
/** Longest time of a call to another VM, without the wait. */
static constexpr milliseconds PeerCallTime { 500 };
/** News no older than this make watching the store needless; a call's wait and time. */
static constexpr milliseconds NewsLife { 1600 };
/** A VM that the store did not answer and that stopped asking may be asked to watch again after this. */
static constexpr milliseconds LostLife { 10'000 };
/** Pause after a failed call for news. */
static constexpr milliseconds NewsRetryPause { 250 };
/** Time for the answer of a seed in the same region; a further one is no sooner than the store. */
static constexpr milliseconds JoinTime { 60 };
/** Time in which the seeds of a first start learn of the store what the others then learn from them. */
static constexpr milliseconds FirstJoinTime { 2000 };
/** Largest state that a VM hands to others at their start: many start at once, and links may have 10 Mbit/s. */
static constexpr std::size_t MostJoinBytes = 262'144;
/** Between two calls for news of a VM that the store does not answer: deletions do not show in what the others are known to hold. */
static constexpr milliseconds LostAskPause { 1000 };
/** VMs asked at most in one round. */
static constexpr std::size_t PeersAsked = 2;

static constexpr std::string_view NewsPath = "/v1/news"; ///< What changed after given revisions; the target of calls for news.

known_revisions knownRevisions(const gate_shell& shell)
{
    known_revisions known {};
    for (std::size_t i = 0; i < known.size(); ++i)
        known[i] = shell.kinds[i] ? shell.kinds[i]->copy.held.revision : 0;
    return known;
}

void wakeFollowers(gate_shell& shell)
{
    const auto waiting = std::move(shell.newsWaiters);
    shell.newsWaiters.clear();
    for (const auto& weak : waiting) {
        if (const auto timer = weak.lock())
            timer->cancel();
    }
}

/** Whether anything is known beyond @p since. */
static bool hasNews(const gate_shell& shell, const known_revisions& since)
{
    const auto known = knownRevisions(shell);
    for (std::size_t i = 0; i < known.size(); ++i) {
        if (known[i] > since[i])
            return true;
    }
    return false;
}

/** Waits until anything is known beyond @p since, or for @p wait. */
static asio::awaitable<void> awaitNews(gate_shell& shell, const known_revisions& since, milliseconds wait)
{
    if (wait.count() <= 0 || hasNews(shell, since))
        co_return;
    std::erase_if(shell.newsWaiters, [](const auto& weak) { return weak.expired(); });
    const auto timer = std::make_shared<asio::steady_timer>(shell.context, wait);
    shell.newsWaiters.push_back(timer);
    error_code woken; // A cancelled wait means news.
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, woken));
}

/** Whether all kinds were read at least once, and the store answers this VM or those that it follows. */
static bool isInformed(const gate_shell& shell)
{
    const bool upToDate = shell.watchesStore ? shell.storeLostAt == time_point {} : shell.clock.now() - shell.newsAt <= NewsLife;
    return upToDate && std::all_of(shell.kinds.begin(), shell.kinds.end(), [](const auto& kind) { return kind && kind->copy.listed; });
}

/** Size of everything that is held. */
static std::size_t heldBytes(const gate_shell& shell)
{
    std::size_t bytes = 0;
    for (const auto& kind : shell.kinds) {
        for (const auto& [key, object] : kind->copy.held.objects)
            bytes += key.size() + object.value.size();
    }
    return bytes;
}

/** Time since the store came back after an outage, in milliseconds; -1 when there was none. */
static std::int64_t msSinceBack(const gate_shell& shell)
{
    return shell.storeBackAt == time_point {} ? -1 : elapsed(shell.storeBackAt, shell.clock.now()).count();
}

/** News of one kind as they travel. */
static boost::json::value encodeNews(const mirror_news& news)
{
    boost::json::array gaps;
    for (const auto& gap : news.gaps)
        gaps.push_back({ gap.after, gap.until });
    boost::json::array objects;
    for (const auto& item : news.objects)
        objects.push_back({ { "key", item.key }, { "version", item.object.version }, { "deleted", item.object.deleted }, { "value", item.object.value } });
    return { { "scope", nameOf(NewsScopeNames, news.scope) }, { "listed", news.listed }, { "complete", news.complete }, { "gaps", std::move(gaps) }, { "objects", std::move(objects) } };
}

/** Everything that changed after the revisions in the query, by kind. */
static asio::awaitable<http_response> answerNews(gate_shell& shell, const std::string& target)
{
    auto query = queryOf(target);
    known_revisions since {};
    for (std::size_t i = 0; i < since.size(); ++i)
        since[i] = std::strtoull(query["since" + std::to_string(i)].c_str(), nullptr, 10);
    const milliseconds wait { std::strtoll(query["wait_ms"].c_str(), nullptr, 10) };
    co_await awaitNews(shell, since, std::min(wait, NewsWait));
    // Many may start at once: what is too large is read from the store, tombstones come from here all the same.
    const bool historyOnly = since == known_revisions {} && heldBytes(shell) > MostJoinBytes;
    boost::json::array kinds;
    for (std::size_t i = 0; i < since.size(); ++i)
        kinds.push_back(encodeNews(historyOnly ? historyOf(shell.kinds[i]->copy) : newsSince(shell.kinds[i]->copy, since[i])));
    std::vector<member_claim> members;
    if (query["members"] == "1") {
        for (const auto* claim : aliveMembers(shell.state.members, shell.state.gossip, shell.clock.now()))
            members.push_back(claimNow(shell.state.members, *claim, shell.clock.now()));
    }
    const bool informed = !historyOnly && isInformed(shell);
    co_return makeAnswer(http::status::ok, boost::json::serialize(boost::json::value { { "informed", informed }, { "store_lost", shell.watchesStore && shell.storeLostAt != time_point {} }, { "store_back_ms", msSinceBack(shell) }, { "kinds", std::move(kinds) }, { "members", encodeClaims(members) } }));
}

outcome<bool> startRelay(gate_shell& shell)
{
    return startServer(shell, shell.peerAcceptor, shell.settings.peers, [&shell](const http_request& request) -> asio::awaitable<http_response> {
        const std::string target(request.target());
        if (pathOf(target) != NewsPath)
            co_return makeProblem(http::status::not_found, "no such call", "");
        auto answer = co_await answerNews(shell, target);
        co_return answer;
    });
}

/** The inverse of encodeNews(). Throws on malformed news. */
static mirror_news decodeNews(const boost::json::value& value)
{
    const auto& document = value.as_object();
    const auto scope = valueOf(NewsScopeNames, document.at("scope").as_string());
    if (!scope)
        throw std::invalid_argument("scope");
    mirror_news news { *scope, document.at("listed").as_bool(), document.at("complete").to_number<std::uint64_t>(), {}, {} };
    for (const auto& gap : document.at("gaps").as_array())
        news.gaps.push_back({ gap.at(0).to_number<std::uint64_t>(), gap.at(1).to_number<std::uint64_t>() });
    for (const auto& item : document.at("objects").as_array()) {
        const auto& row = item.as_object();
        keyed_object object;
        object.key = std::string(row.at("key").as_string());
        object.object.version = row.at("version").to_number<std::uint64_t>();
        object.object.deleted = row.at("deleted").as_bool();
        object.object.value = std::string(row.at("value").as_string());
        news.objects.push_back(std::move(object));
    }
    return news;
}

/** What a VM that was asked for news says of the store itself. */
static void noteSource(gate_shell& shell, const std::string& ip, bool storeLost, milliseconds sinceBack)
{
    // Entries that lapsed during an outage have their time to return here, too.
    if (sinceBack.count() >= 0)
        shell.storeBackAt = std::max(shell.storeBackAt, shell.clock.now() - sinceBack);
    if (!storeLost)
        return;
    for (auto& [name, member] : shell.state.members.members) {
        if (member.claim.ip == ip && name != shell.settings.vm)
            member.claim.storeAnswers = false; // Sooner than its next claim says so.
    }
}

/** Takes in an answer to a call for news. @return whether the other VM is informed. */
static bool takeNews(gate_shell& shell, const std::string& ip, const std::string& body)
{
    const auto parsed = parseJson(body);
    try {
        const auto& document = parsed.value.value().as_object();
        const auto& kinds = document.at("kinds").as_array();
        const bool informed = document.at("informed").as_bool();
        const auto members = decodeClaims(document.at("members").as_string());
        noteSource(shell, ip, document.at("store_lost").as_bool(), milliseconds(document.at("store_back_ms").to_number<std::int64_t>()));
        if (!members.empty())
            mergeClaims(shell.state.members, members, members.front().vm, shell.clock.now());
        for (std::size_t i = 0; i < shell.kinds.size(); ++i) {
            auto& kind = *shell.kinds[i];
            const auto news = decodeNews(kinds.at(i));
            const bool first = informed && !kind.copy.listed;
            const auto since = kind.copy.complete;
            const auto changed = takeNews(kind.copy, news);
            kind.copy.listed = kind.copy.listed || informed;
            if (changed.empty() && !first)
                continue;
            ++shell.counters.relays;
            writeLine("relay", { { "from", ip }, { "kind", kind.prefix }, { "since", std::to_string(since) }, { "scope", std::string(nameOf(NewsScopeNames, news.scope)) }, { "objects", std::to_string(changed.size()) } }, shell.clock.now());
            applyChanges(shell, kind, changed);
        }
        return informed;
    } catch (const std::exception& error) {
        writeLine("relay", { { "from", ip }, { "reason", std::string("malformed: ") + error.what() } }, shell.clock.now());
        return false;
    }
}

/** Asks a VM for what changed. @param members whether also for the other VMs. @return whether it is informed. */
static asio::awaitable<bool> askNews(gate_shell& shell, std::string ip, milliseconds wait, bool members)
{
    const auto port = shell.settings.peers.substr(shell.settings.peers.rfind(':'));
    const auto address = parseAddress(ip + port);
    if (!address) {
        writeLine("relay", { { "from", ip }, { "reason", address.reason } }, shell.clock.now());
        co_return false;
    }
    std::string target(NewsPath);
    target += "?wait_ms=" + std::to_string(wait.count()) + (members ? "&members=1" : "");
    for (std::size_t i = 0; i < shell.kinds.size(); ++i)
        target += "&since" + std::to_string(i) + "=" + std::to_string(shell.kinds[i]->copy.listed ? shell.kinds[i]->copy.complete : 0);
    http_request request(http::verb::get, target, 11);
    request.set(http::field::host, ip);
    ++shell.counters.newsCalls;
    const auto reply = co_await httpCall(*address, std::move(request), wait + PeerCallTime);
    if (reply.result != http_result::Answered || reply.response.result() != http::status::ok) {
        ++shell.counters.newsFailures;
        writeLine("relay", { { "from", ip }, { "reason", reply.result == http_result::Answered ? "refused" : reply.reason } }, shell.clock.now());
        co_return false;
    }
    co_return takeNews(shell, ip, reply.response.body());
}

/** Others who know of no newer change than this have nothing to tell. */
static std::uint64_t knownHere(const watched_kind& kind)
{
    return kind.copy.listed ? std::max(kind.copy.complete, kind.copy.held.revision) : kind.copy.held.revision;
}

/** VMs that know more of the kind: those of the own region first, since bytes between regions are dear, then those that know most. */
static std::vector<const member_claim*> betterInformed(const gate_shell& shell, const watched_kind& kind)
{
    std::vector<const member_claim*> found;
    for (const auto* member : aliveMembers(shell.state.members, shell.state.gossip, shell.clock.now())) {
        if (member->vm != shell.settings.vm && member->known[kind.index] > knownHere(kind))
            found.push_back(member);
    }
    const auto rank = [&](const member_claim* claim) { return std::pair(isSameRegion(shell.state.members, claim->zone), claim->known[kind.index]); };
    std::sort(found.begin(), found.end(), [&](const auto* a, const auto* b) { return rank(a) > rank(b); });
    return found;
}

/** While the store does not answer this VM: one that it answers, of the own region if there is any, another one each time. */
static const member_claim* informedMember(const gate_shell& shell)
{
    if (shell.storeLostAt == time_point {} || isInformed(shell))
        return nullptr;
    const member_claim* best = nullptr;
    const auto turn = stableHash(shell.settings.vm, shell.counters.newsCalls);
    const auto rank = [&](const member_claim& claim) { return std::pair(isSameRegion(shell.state.members, claim.zone), stableHash(claim.vm, turn)); };
    for (const auto* claim : aliveMembers(shell.state.members, shell.state.gossip, shell.clock.now())) {
        const bool fits = claim->vm != shell.settings.vm && claim->storeAnswers;
        if (fits && (!best || rank(*claim) > rank(*best)))
            best = claim;
    }
    return best;
}

/** Fetches what VMs know that know more, once the own sources had time to bring it. */
static void catchUp(gate_shell& shell)
{
    const auto now = shell.clock.now();
    std::set<std::string> asked;
    for (const auto& kind : shell.kinds) {
        const auto better = betterInformed(shell, *kind);
        const auto known = better.empty() ? 0 : better.front()->known[kind->index];
        const bool atOnce = !isInformed(shell) || !kind->copy.listed;
        if (!isLagging(kind->lag, knownHere(*kind), known, atOnce ? milliseconds(0) : WatchGrace, now))
            continue;
        for (std::size_t i = 0; i < better.size() && i < PeersAsked; ++i)
            asked.insert(better[i]->ip);
    }
    if (const auto* informed = informedMember(shell); informed && now - shell.askedAt >= LostAskPause) {
        shell.askedAt = now;
        asked.insert(informed->ip);
    }
    for (const auto& ip : asked) {
        asio::co_spawn(shell.context, askNews(shell, ip, milliseconds(0), false), [](const std::exception_ptr&, bool) {});
    }
}

/** Follows the VM of one place in the plan for as long as this VM does not watch the store itself. */
static asio::awaitable<void> followSource(gate_shell& shell, std::size_t place)
{
    while (true) {
        if (shell.plan.watches || place >= shell.plan.sources.size()) {
            co_await pauseFor(FollowPause);
            continue;
        }
        const bool informed = co_await askNews(shell, shell.plan.sources[place], NewsWait, false);
        if (informed)
            shell.newsAt = shell.clock.now();
        else
            co_await pauseFor(NewsRetryPause);
    }
}

/** Decides whether this VM watches the store. It does when those that it follows bring nothing. */
static void decideRole(gate_shell& shell)
{
    const auto now = shell.clock.now();
    const bool failedLately = shell.storeLostAt != time_point {} && now - shell.storeFailedAt < LostLife;
    shell.state.members.members.at(shell.settings.vm).claim.storeAnswers = !failedLately;
    auto plan = planFollow(shell.state.members, shell.state.gossip, follow_limits {}, now);
    if (shell.plan.watches && !plan.watches)
        shell.newsAt = now; // The first call for news has its time.
    shell.plan = std::move(plan);
    const bool watches = shell.plan.watches || (!shell.plan.outage && now - shell.newsAt > NewsLife);
    if (watches == shell.watchesStore)
        return;
    shell.watchesStore = watches;
    writeLine("follow", { { "role", watches ? "watcher" : "follower" }, { "planned", shell.plan.watches ? "watcher" : "follower" } }, now);
    for (const auto& kind : shell.kinds)
        kind->resume.cancel();
}

/** Asks all @p ips at once and waits for the first informed answer, for @p wait at most; later answers are taken in all the same. */
static asio::awaitable<bool> askFirst(gate_shell& shell, std::vector<std::string> ips, milliseconds wait)
{
    struct asking {
        asio::steady_timer done; ///< Cancelled by the first informed answer and by the last of the others.
        std::size_t open = 0; ///< Calls without an end.
        bool informed = false; ///< One was informed.
    };
    const auto state = std::make_shared<asking>(asking { asio::steady_timer(shell.context, wait), ips.size(), false });
    for (const auto& ip : ips) {
        asio::co_spawn(shell.context, askNews(shell, ip, milliseconds(0), true), [state](const std::exception_ptr& error, bool informed) {
            state->informed = state->informed || (!error && informed);
            if (--state->open == 0 || state->informed)
                state->done.cancel();
        });
    }
    error_code woken; // A cancelled wait is the signal.
    if (!ips.empty())
        co_await state->done.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    co_return state->informed;
}

/** Learns from the seeds what there is to know, before the store is asked: a start costs the store little then. */
static asio::awaitable<bool> joinBySeeds(gate_shell& shell)
{
    const auto until = shell.clock.now() + (shell.settings.firstStart ? FirstJoinTime : JoinTime);
    std::vector<std::string> others;
    bool isSeed = false;
    for (const auto& seed : shell.settings.seeds) {
        const auto ip = seed.substr(0, seed.rfind(':'));
        isSeed = isSeed || ip == shell.settings.ip;
        if (ip != shell.settings.ip)
            others.push_back(ip);
    }
    if (others.empty() || (isSeed && shell.settings.firstStart))
        co_return false; // The others learn from this VM.
    bool joined = false;
    while (!joined && shell.clock.now() < until) {
        joined = co_await askFirst(shell, others, elapsed(shell.clock.now(), until));
        if (!joined)
            co_await pauseFor(std::min(FollowPause, elapsed(shell.clock.now(), until)));
    }
    co_return joined;
}

asio::awaitable<void> keepUp(gate_shell& shell)
{
    const bool joined = co_await joinBySeeds(shell);
    writeLine("join", { { "by", joined ? "seed" : "store" } }, shell.clock.now());
    if (joined)
        decideRole(shell);
    else if (!shell.settings.firstStart)
        listMembers(shell);
    startWatches(shell);
    for (std::size_t place = 0; place < follow_limits {}.sources; ++place)
        asio::co_spawn(shell.context, followSource(shell, place), asio::detached);
    while (true) {
        co_await pauseFor(FollowPause);
        decideRole(shell);
        catchUp(shell);
    }
}

} // namespace lhub
