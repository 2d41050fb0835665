/** @file serve_gossip.cpp Registers this VM in the store and exchanges claims with the other VMs over UDP. A claim is what a VM tells
 *  of itself, or passes on of another one. */
#include "core/hash.h"
#include "gossip/gossip_func.h"
#include "net/http_func.h"
#include "pace/pace_func.h"
#include "platform/objects.h"
#include "quota/quota_func.h"
#include "self_report/self_report_func.h"
#include "serve/serve_func.h"

namespace lhub {

/** Wait after the registration for other members to become known through the seeds; if none has, the store's list is read. */
static constexpr milliseconds SeedWait { 1000 };
/** Pause before a failed registration, or a failed read of the list of members, is tried again. */
static constexpr milliseconds RegisterRetryPause { 500 };
/** Time between two messages about paces. In rounds of 500 ms a level reaches all VMs after those without evidence have raised theirs again. */
static constexpr milliseconds PaceInterval { 100 };
/** Time over which the VMs of a system spread their registrations after a restoration of the store, which limits calls per second. */
static constexpr milliseconds RegisterAgainSpread { 1000 };
/** Size of the receive buffer; must hold the records of gossip_settings::recordsPerMessage members. */
static constexpr std::size_t MaxDatagramBytes = 16'384;

using udp = asio::ip::udp;

/** Reads the list of members from the store unless other members are known by then; one call to the store per start of a VM would cost too much. */
static asio::awaitable<void> listMembersIfAlone(gate_shell& shell)
{
    co_await pauseFor(SeedWait);
    if (aliveMembers(shell.state.members, shell.state.gossip, shell.clock.now()).size() <= 1)
        listMembers(shell);
}

/** Calls @p step after RegisterRetryPause. */
static asio::awaitable<void> retryLater(gate_shell& shell, void (*step)(gate_shell&))
{
    co_await pauseFor(RegisterRetryPause);
    step(shell);
}

/**
 * Writes this VM's member object, and tries again on failure. After a lost reply the retry finds the object present, which is a
 * conflict, and replaces it. @param presentVersion version of the object to replace; 0 to create it.
 */
static void registerSelf(gate_shell& shell, std::uint64_t presentVersion)
{
    store_request request;
    request.operation = store_operation::Put;
    request.key = std::string(platform::MemberPrefix) + shell.settings.vm;
    request.value = platform::encodeMember(shell.state.members.members.at(shell.settings.vm).record);
    request.expectedVersion = presentVersion;
    shell.store->call(request, [&shell](const store_reply& reply) {
        if (reply.result == store_result::Done) {
            logEvent("registered", { { "vm", shell.settings.vm }, { "revision", std::to_string(reply.object.version) } }, shell.clock.now());
            spawn(shell, "list_members", listMembersIfAlone(shell));
            return;
        }
        if (reply.result == store_result::Conflict && reply.object.version > 0) {
            registerSelf(shell, reply.object.version);
            return;
        }
        logEvent("register_failed", { { "reason", reply.reason } }, shell.clock.now());
        spawn(shell, "register", retryLater(shell, [](gate_shell& sameShell) { registerSelf(sameShell, 0); }));
    });
}

void registerAgain(gate_shell& shell)
{
    auto registerAfterWait = [](gate_shell& shell, milliseconds wait) -> asio::awaitable<void> {
        co_await pauseFor(wait);
        registerSelf(shell, 0);
    };
    const milliseconds wait { static_cast<std::int64_t>(stableHash(shell.settings.vm) % RegisterAgainSpread.count()) };
    spawn(shell, "register", registerAfterWait(shell, wait));
}

void listMembers(gate_shell& shell)
{
    store_request request;
    request.operation = store_operation::Watch;
    request.key = platform::MemberPrefix;
    shell.store->call(request, [&shell](const store_reply& reply) {
        if (reply.result != store_result::Done) {
            logEvent("members_unread", { { "reason", reply.reason } }, shell.clock.now());
            spawn(shell, "list_members", retryLater(shell, listMembers));
            return;
        }
        std::vector<member_record> claims;
        for (const auto& item : reply.objects) {
            auto claim = platform::decodeMember(item.object.value);
            if (claim)
                claims.push_back(std::move(*claim));
            else
                ++shell.counters.rejectedObjects;
        }
        mergeMemberRecords(shell.state.members, claims, {}, shell.clock.now());
        logEvent("members", { { "known", std::to_string(shell.state.members.members.size()) } }, shell.clock.now());
    });
}

/** Sends a message to the IPs in @p targets; an invalid IP and the one of this VM are skipped. */
static void sendTo(gate_shell& shell, udp::socket& socket, const std::vector<std::string>& targets, const std::string& message)
{
    for (const auto& ip : targets) {
        error_code error;
        const auto address = asio::ip::make_address(ip, error);
        if (error || ip == shell.settings.ip)
            continue;
        socket.send_to(asio::buffer(message), udp::endpoint(address, shell.settings.gossipPort), 0, error);
        ++(error ? shell.counters.gossipUnsent : shell.counters.gossipSent); // No retry: gossip tolerates lost datagrams.
        shell.counters.gossipBytes += error ? 0 : message.size();
    }
}

void sendDatagram(gate_shell& shell, const std::string& ip, const std::string& text)
{
    if (shell.gossipSocket)
        sendTo(shell, *shell.gossipSocket, { ip }, text);
}

/** Runs the rounds of quotas until no customer has a quota any more. */
static asio::awaitable<void> runQuotaRounds(gate_shell& shell)
{
    while (!shell.state.quota.limits.empty()) {
        processEvent(shell, quota_round_due {});
        co_await pauseFor(QuotaRound);
    }
    shell.quotaRounds = false;
}

/** Starts the rounds of quotas if they are needed and do not run. */
static void startQuotaRounds(gate_shell& shell)
{
    if (shell.quotaRounds || shell.state.quota.limits.empty())
        return;
    shell.quotaRounds = true;
    spawn(shell, "quota_rounds", runQuotaRounds(shell));
}

/** Receives claims and updates about endpoints, merges them, and replies to VMs that join. */
static asio::awaitable<void> receiveClaims(gate_shell& shell, std::shared_ptr<udp::socket> socket)
{
    std::string buffer(MaxDatagramBytes, '\0');
    error_code error;
    while (socket->is_open()) {
        udp::endpoint from;
        const auto size = co_await socket->async_receive_from(
            asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            continue;
        ++shell.counters.gossipReceived;
        const auto message = std::string_view(buffer).substr(0, size);
        if (message.starts_with(QuotaMessageStart)) {
            if (auto quota = decodeQuotaMessage(message))
                processEvent(shell, quota_message_received { std::move(*quota) });
            else
                ++shell.counters.quotaMalformed;
            continue;
        }
        if (auto updates = decodeReportUpdates(message); !updates.empty()) {
            processEvent(shell, report_updates_received { std::move(updates) });
            continue;
        }
        if (auto updates = decodePaceUpdates(message); !updates.empty()) {
            processEvent(shell, pace_updates_received { std::move(updates) });
            continue;
        }
        const auto claims = decodeMemberRecords(message);
        if (claims.empty())
            continue;
        const auto now = shell.clock.now();
        const auto reply = replyToJoin(shell.state.members, claims, shell.state.gossip, now);
        mergeMemberRecords(shell.state.members, claims, claims.front().vm, now);
        if (reply)
            sendTo(shell, *socket, { claims.front().ip }, encodeMemberRecords(*reply));
    }
}

/** Sends claims to some members in each round; to the seeds as well while there are fewer targets than the fanout. */
static asio::awaitable<void> sendClaims(gate_shell& shell, std::shared_ptr<udp::socket> socket, std::shared_ptr<gossip_targets> lastTargets)
{
    while (socket->is_open()) {
        startQuotaRounds(shell);
        const auto now = shell.clock.now();
        const auto messages = nextGossipMessages(shell.state.members, shell.state.gossip, now);
        for (const auto& change : memberChanges(shell.state.members, shell.state.gossip, now))
            logEvent("member", { { "vm", change.vm }, { "state", std::string(nameOf(MemberStatusNames, change.state)) }, { "incarnation", std::to_string(change.incarnation) } }, now);
        auto targets = nextGossipTargets(shell.state.members, shell.state.gossip, now);
        if (targets.sameRegion.size() + targets.otherRegions.size() < shell.state.gossip.fanout) {
            for (const auto& seed : shell.settings.seeds)
                targets.otherRegions.push_back(seed.substr(0, seed.rfind(':')));
        }
        sendTo(shell, *socket, targets.sameRegion, encodeMemberRecords(messages.sameRegion));
        sendTo(shell, *socket, targets.otherRegions, encodeMemberRecords(messages.otherRegions));
        if (const auto updates = nextReportUpdates(shell.state.selfReports, now); !updates.empty()) {
            const auto message = encodeReportUpdates(updates);
            sendTo(shell, *socket, targets.sameRegion, message);
            sendTo(shell, *socket, targets.otherRegions, message);
        }
        *lastTargets = std::move(targets);
        co_await pauseFor(shell.state.gossip.interval);
    }
}

/** Sends levels of paces to the targets of the last round of claims, while there are any to send. */
static asio::awaitable<void> sendPaces(gate_shell& shell, std::shared_ptr<udp::socket> socket, std::shared_ptr<gossip_targets> lastTargets)
{
    while (socket->is_open()) {
        co_await pauseFor(PaceInterval);
        const auto paces = nextPaceUpdates(shell.state, shell.clock.now());
        if (paces.empty())
            continue;
        const auto message = encodePaceUpdates(paces);
        sendTo(shell, *socket, lastTargets->sameRegion, message);
        sendTo(shell, *socket, lastTargets->otherRegions, message);
    }
}

void startGossip(gate_shell& shell)
{
    registerSelf(shell, 0);
    error_code error;
    const auto socket = std::make_shared<udp::socket>(shell.context);
    const udp::endpoint own(asio::ip::make_address(shell.settings.ip, error), shell.settings.gossipPort);
    if (!error)
        socket->open(own.protocol(), error);
    if (!error)
        socket->bind(own, error);
    if (!error)
        socket->non_blocking(true, error);
    if (error) {
        logEvent("gossip", { { "state", "unavailable" }, { "reason", error.message() } }, shell.clock.now());
        return;
    }
    shell.gossipSocket = socket;
    spawn(shell, "receive_gossip", receiveClaims(shell, socket));
    const auto lastTargets = std::make_shared<gossip_targets>();
    spawn(shell, "send_gossip", sendClaims(shell, socket, lastTargets));
    spawn(shell, "send_paces", sendPaces(shell, socket, lastTargets));
}

} // namespace lhub
