/** @file serve_relay.cpp What VMs tell each other of the store, for those that it does not answer. */
#include "config/config_func.h"
#include "gossip/gossip_func.h"
#include "net/http_func.h"
#include "serve/serve_func.h"
#include "store/http_store.h"

namespace lhub {

/** Between two comparisons with what other VMs know. */
static constexpr milliseconds FollowPause { 250 };
/** Time that the store's own watch has to bring what others know already: its pause for gathering and a call. */
static constexpr milliseconds WatchGrace { 900 };
/** Longest time of a call to another VM. */
static constexpr milliseconds PeerCallTime { 700 };
/** VMs asked at most in one round. */
static constexpr std::size_t PeersAsked = 2;

known_revisions knownRevisions(const gate_shell& shell)
{
    known_revisions known {};
    for (std::size_t i = 0; i < known.size(); ++i)
        known[i] = shell.kinds[i] ? shell.kinds[i]->held.revision : 0;
    return known;
}

/** Objects of the prefix that changed after a revision, in the protocol of our own store. */
static http_response answerRelay(const gate_shell& shell, const std::string& target)
{
    auto query = queryOf(target);
    const auto since = std::strtoull(query["since"].c_str(), nullptr, 10);
    for (const auto& kind : shell.kinds) {
        if (!kind || kind->prefix != query["prefix"])
            continue;
        boost::json::array objects;
        for (const auto& item : objectsSince(kind->held, since))
            objects.push_back({ { "key", item.key }, { "version", item.object.version }, { "deleted", item.object.deleted }, { "value", item.object.value } });
        const boost::json::value body { { "revision", kind->held.revision }, { "objects", std::move(objects) } };
        return makeAnswer(http::status::ok, boost::json::serialize(body));
    }
    return makeProblem(http::status::not_found, "no such kind", query["prefix"]);
}

outcome<bool> startRelay(gate_shell& shell)
{
    return startServer(shell, shell.peerAcceptor, shell.settings.peers, [&shell](const http_request& request) -> asio::awaitable<http_response> {
        co_return answerRelay(shell, std::string(request.target()));
    });
}

/** IPs of VMs that know more of the kind, those that know most first. */
static std::vector<std::string> betterInformed(const gate_shell& shell, const watched_kind& kind)
{
    std::vector<std::pair<std::uint64_t, std::string>> found;
    for (const auto* member : aliveMembers(shell.state.members, shell.state.gossip, shell.clock.now())) {
        if (member->vm != shell.settings.vm && member->known[kind.index] > kind.held.revision)
            found.emplace_back(member->known[kind.index], member->ip);
    }
    std::sort(found.rbegin(), found.rend());
    std::vector<std::string> result;
    result.reserve(found.size());
    for (const auto& [revision, ip] : found)
        result.push_back(ip);
    return result;
}

static void askPeer(gate_shell& shell, const std::shared_ptr<watched_kind>& kind, const std::string& ip)
{
    const auto port = shell.settings.peers.substr(shell.settings.peers.rfind(':'));
    auto made = makeHttpStore(shell.context.get_executor(), ip + port, PeerCallTime);
    if (!made) {
        writeLine("relay", { { "from", ip }, { "reason", made.reason } }, shell.clock.now());
        return;
    }
    const std::shared_ptr<store_client> peer = std::move(*made);
    store_request request;
    request.operation = store_operation::Watch;
    request.key = kind->prefix;
    request.since = kind->held.revision;
    peer->call(request, [&shell, kind, ip, peer](const store_reply& reply) {
        if (reply.result != store_result::Done) {
            writeLine("relay", { { "from", ip }, { "reason", reply.reason } }, shell.clock.now());
            return;
        }
        if (reply.objects.empty())
            return;
        ++shell.counters.relays;
        writeLine("relay", { { "from", ip }, { "kind", kind->prefix }, { "since", std::to_string(kind->held.revision) }, { "revision", std::to_string(reply.revision) }, { "objects", std::to_string(reply.objects.size()) } }, shell.clock.now());
        takeObjects(shell, *kind, reply.objects);
    });
}

asio::awaitable<void> followPeers(gate_shell& shell)
{
    while (true) {
        co_await pauseFor(FollowPause);
        const auto now = shell.clock.now();
        for (const auto& kind : shell.kinds) {
            const auto better = betterInformed(shell, *kind);
            if (better.empty()) {
                kind->behindSince = {};
                continue;
            }
            if (kind->behindSince == time_point {})
                kind->behindSince = now;
            const bool atOnce = shell.storeLostAt != time_point {} || kind->held.revision == 0;
            if (!atOnce && now - kind->behindSince < WatchGrace)
                continue;
            for (std::size_t i = 0; i < better.size() && i < PeersAsked; ++i)
                askPeer(shell, kind, better[i]);
        }
    }
}

} // namespace lhub
