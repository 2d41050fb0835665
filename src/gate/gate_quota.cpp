/** @file gate_quota.cpp Quotas of customers over all VMs: tokens for requests, and the messages to and from brokers. */
#include "gate/gate_internal.h"

#include "core/hash.h"
#include "gossip/gossip_func.h"
#include "quota/quota_func.h"
#include <algorithm>
#include <utility>

namespace lhub {

/** How long the view of the members is cached for quotas; one round. */
static constexpr milliseconds QuotaViewCacheTime = QuotaRound;
/** A customer counts as limited until none of its requests was refused for this long. */
static constexpr milliseconds LimitedTime { 2000 };
/** Time reserved for the way of a response back to the caller. */
static constexpr milliseconds TransitTime { 10 };
/** Part of a route's objective that a request may spend waiting for a token, besides the round trip. */
static constexpr int ObjectivePart = 8;
/** Lower bound on the Retry-After of a request without a token. */
static constexpr milliseconds MinQuotaRetryAfter { 100 };

/** This VM and the others, as quotas need them. */
static const quota_view& currentQuotaView(gate_state& gate, time_point now)
{
    auto& cached = gate.quotaView;
    if (gate.quotaViewAt != time_point {} && now - gate.quotaViewAt < QuotaViewCacheTime)
        return cached;
    gate.quotaViewAt = now;
    const auto& self = gate.members.members.at(gate.self.vm).record;
    cached = { gate.self.vm, self.incarnation, 0, {} };
    for (const auto* member : aliveMembers(gate.members, gate.gossip, now)) {
        if (member->serving || member->vm == gate.self.vm)
            cached.alive.push_back({ member->vm, static_cast<double>(std::max(1U, member->requestsPerSecond)) });
    }
    if (!currentTrust(gate, now).settled)
        return cached;
    double all = 0;
    for (const auto* member : recentMembers(gate.members, gate.gossip, now))
        all += std::max(1U, member->requestsPerSecond);
    cached.share = std::max(1U, self.requestsPerSecond) / all;
    return cached;
}

/** Gives tokens to the requests of a customer that wait, and refuses them if none will come in time. */
static void serveWaiting(gate_state& gate, time_point now, std::uint64_t key, gate_effects& effects);

/** Sends messages. Those to this VM itself are handled at once. */
static void sendQuotaMessages(gate_state& gate, time_point now, const std::vector<quota_outgoing>& messages, gate_effects& effects)
{
    for (const auto& message : messages) {
        if (message.to == gate.self.vm) {
            onQuotaMessage(gate, now, message.message, effects);
            continue;
        }
        const auto member = gate.members.members.find(message.to);
        if (member != gate.members.members.end())
            effects.push_back(send_datagram { member->second.record.ip, encodeQuotaMessage(message.message) });
    }
}

void onQuotaMessage(gate_state& gate, time_point now, const quota_message& message, gate_effects& effects)
{
    if (gate.quota.limits.empty())
        return;
    const auto& view = currentQuotaView(gate, now);
    if (message.ask) {
        if (auto answer = answerQuotaAsk(gate.quota, view, *message.ask, now))
            sendQuotaMessages(gate, now, { { message.ask->vm, { std::nullopt, std::move(answer) } } }, effects);
        return;
    }
    if (!message.answer || !acceptQuotaAnswer(gate.quota, view, *message.answer, now))
        return;
    for (const auto& row : message.answer->rows)
        serveWaiting(gate, now, row.customer, effects);
}

static void serveWaiting(gate_state& gate, time_point now, std::uint64_t key, gate_effects& effects)
{
    const auto found = gate.quota.customers.find(key);
    if (found == gate.quota.customers.end())
        return;
    auto& customer = found->second;
    while (!customer.waiting.empty()) {
        const auto id = customer.waiting.front();
        auto& request = gate.requests.at(id);
        const auto token = takeQuotaToken(gate.quota, key, now);
        const auto wait = quotaWait(customer, now);
        if (!token && now + wait <= request.tokenUntil) {
            sendQuotaMessages(gate, now, askForWaiting(gate.quota, key, currentQuotaView(gate, now), now), effects);
            return;
        }
        customer.waiting.pop_front();
        request.waitsForToken = false;
        request.token = token;
        if (token)
            placeAndSend(gate, now, id, effects);
        else
            refuseForQuota(gate, now, id, wait, effects);
    }
}

void applyQuotaLimits(gate_state& gate, time_point now, gate_effects& effects)
{
    quota_limits limits;
    if (gate.routes) {
        for (const auto& customer : gate.routes->config.customers) {
            if (hasQuota(customer))
                limits[quotaKey(customer.name)] = quotaLimitOf(customer.requestsPerSecond, customer.burst, gate.self.quotaWindow);
        }
    }
    gate.quotaWindow = gate.self.quotaWindow;
    for (const auto id : setQuotaLimits(gate.quota, std::move(limits))) {
        gate.requests.at(id).waitsForToken = false;
        placeAndSend(gate, now, id, effects);
    }
}

milliseconds recordQuotaRefusal(gate_state& gate, const gate_request& request, milliseconds wait, time_point now, gate_effects& effects)
{
    const auto found = gate.quota.customers.find(quotaKey(request.customer->name));
    if (found != gate.quota.customers.end()) {
        auto& customer = found->second;
        ++customer.refused;
        customer.refusedAt = now;
        if (!std::exchange(customer.limited, true))
            effects.push_back(log_line { "quota", { { "customer", customer.name }, { "state", "limited" }, { "wait_ms", std::to_string(wait.count()) } } });
    }
    const auto spread = static_cast<std::int64_t>(stableHash(request.callerRequestId) % 50);
    return std::clamp(wait + wait * spread / 100, MinQuotaRetryAfter, std::max(MinQuotaRetryAfter, gate.quotaWindow));
}

bool takeTokenOrWait(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    if (!request.customer || !hasQuota(*request.customer))
        return true;
    const auto key = quotaKey(request.customer->name);
    auto& customer = quotaCustomer(gate.quota, key, request.customer->name);
    countQuotaDemand(customer, now);
    if (customer.waiting.empty())
        request.token = takeQuotaToken(gate.quota, key, now);
    if (request.token)
        return true;
    const auto measured = quotaRoundTrip(gate.quota, customer);
    const auto roundTrip = measured.count() > 0 ? measured : MaxTokenWait;
    const auto longest = std::min(MaxTokenWait, request.matchedRoute->objective / ObjectivePart + roundTrip);
    request.tokenUntil = std::min(now + longest, request.deadline - TransitTime);
    const auto wait = quotaWait(customer, now);
    if (now + wait > request.tokenUntil) {
        refuseForQuota(gate, now, id, wait, effects);
        return false;
    }
    request.waitsForToken = true;
    customer.waiting.push_back(id);
    // The timer comes first: an answer of this VM itself may end the request at once.
    effects.push_back(set_request_timer { id, std::min(request.tokenUntil, now + QuotaRepeatTime) });
    sendQuotaMessages(gate, now, askForWaiting(gate.quota, key, currentQuotaView(gate, now), now), effects);
    return false;
}

void onTokenTimer(gate_state& gate, time_point now, std::uint64_t id, gate_effects& effects)
{
    auto& request = gate.requests.at(id);
    const auto key = quotaKey(request.customer->name);
    if (now < request.tokenUntil && (!gate.respondUntil || now < *gate.respondUntil)) {
        effects.push_back(set_request_timer { id, std::min(request.tokenUntil, now + QuotaRepeatTime) });
        serveWaiting(gate, now, key, effects);
        return;
    }
    auto& customer = gate.quota.customers.at(key);
    std::erase(customer.waiting, id);
    request.waitsForToken = false;
    refuseForQuota(gate, now, id, quotaWait(customer, now), effects);
}

void endQuotaUse(gate_state& gate, std::uint64_t id, const gate_request& request)
{
    if (request.waitsForToken) {
        const auto customer = gate.quota.customers.find(quotaKey(request.customer->name));
        if (customer != gate.quota.customers.end())
            std::erase(customer->second.waiting, id);
    }
    if (request.token && !request.mayHaveRun)
        returnQuotaToken(gate.quota, *request.token);
}

/** Logs the customers that are no longer limited, and the shards that this VM became or is no longer the broker of. */
static void logQuotaChanges(gate_state& gate, time_point now, gate_effects& effects)
{
    for (auto& [key, customer] : gate.quota.customers) {
        if (!customer.limited || now - customer.refusedAt < LimitedTime)
            continue;
        customer.limited = false;
        effects.push_back(log_line { "quota", { { "customer", customer.name }, { "state", "free" } } });
    }
    for (std::size_t shard = 0; shard < QuotaShards; ++shard) {
        auto& broker = gate.quota.brokers[shard];
        const double share = countedShare(broker, now);
        if (broker.announced == (share > 0))
            continue;
        broker.announced = share > 0;
        effects.push_back(log_line { "quota", { { "shard", std::to_string(shard) }, { "state", broker.announced ? "broker" : "not_broker" }, { "share", std::to_string(share) } } });
    }
}

void onQuotaRound(gate_state& gate, time_point now, gate_effects& effects)
{
    if (gate.quotaWindow != gate.self.quotaWindow) // The settings were read again.
        applyQuotaLimits(gate, now, effects);
    if (gate.quota.limits.empty())
        return;
    logQuotaChanges(gate, now, effects);
    sendQuotaMessages(gate, now, runQuotaRound(gate.quota, currentQuotaView(gate, now), now), effects);
}

} // namespace lhub
