/** @file quota.cpp The side of a VM that serves customers: their tokens, and what it asks the brokers for. */
#include "quota/quota_func.h"

#include "core/hash.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace lhub {

/** Tokens of half a second fit into every bucket: a VM holds those of the time between two answers of its broker. */
static constexpr double MinDepthSeconds = 0.5;
/** A quota is divided over two shards only if each part holds this many tokens; below, whole tokens would be held up in parts. */
static constexpr double MinPartDepth = 4;
/** Time constant of quota_customer::demand. */
static constexpr double DemandSeconds = 1;
/** Demand below which a customer is not told to brokers any more, 4 s after a single request. */
static constexpr double MinDemand = 0.02;
/** A customer without a request for this long is forgotten. It is told to brokers for 4 s of it, and they count its tokens for
 *  TokenLifetime after that; the rest is for delayed messages. */
static constexpr milliseconds ForgetCustomerAfter { 10'000 };
/** Time beyond a round and a round trip for which a VM keeps tokens; covers the jitter of both. */
static constexpr milliseconds HoldMargin { 50 };
/** Messages to a broker without an answer before it counts as silent, besides BrokerSilence: a VM that was paused has sent none. */
static constexpr std::uint32_t MinUnanswered = 3;
/** Messages whose answers are still accepted. */
static constexpr std::size_t MaxSentKept = 64;
/** Brokers of a shard that are silent at a time before this VM uses its own share alone. */
static constexpr std::size_t MaxAvoided = 3;
/** A round may come this much early. */
static constexpr milliseconds RoundTolerance { 20 };

std::uint64_t quotaKey(std::string_view customer) { return stableHash(customer); }

quota_limit quotaLimitOf(double requestsPerSecond, double burst, milliseconds window)
{
    const double windowSeconds = std::chrono::duration<double>(window).count();
    const double total = requestsPerSecond * windowSeconds + burst;
    const double minDepth = std::min(std::max(1.0, MinDepthSeconds * requestsPerSecond), total / 2);
    quota_limit limit;
    limit.window = window;
    limit.depth = requestsPerSecond > 0 ? std::max(burst, minDepth) : total / 2;
    limit.perSecond = (total - limit.depth) / windowSeconds;
    limit.parts = limit.depth >= 2 * MinPartDepth ? 2 : 1;
    return limit;
}

std::array<std::uint32_t, 2> quotaShardsOf(std::uint64_t customer)
{
    const auto first = static_cast<std::uint32_t>(customer % QuotaShards);
    const auto step = static_cast<std::uint32_t>(1 + customer / QuotaShards % (QuotaShards - 1));
    return { first, static_cast<std::uint32_t>((first + step) % QuotaShards) };
}

std::vector<std::uint64_t> setQuotaLimits(quota_state& state, quota_limits limits)
{
    std::vector<std::uint64_t> freed;
    for (auto item = state.customers.begin(); item != state.customers.end();) {
        const auto limit = limits.find(item->first);
        if (limit == limits.end()) {
            freed.insert(freed.end(), item->second.waiting.begin(), item->second.waiting.end());
            item = state.customers.erase(item);
            continue;
        }
        item->second.limit = limit->second;
        ++item;
    }
    state.limits = std::move(limits);
    if (state.limits.empty())
        state.brokers = {};
    return freed;
}

quota_customer& quotaCustomer(quota_state& state, std::uint64_t key, const std::string& name)
{
    auto [found, added] = state.customers.try_emplace(key);
    auto& customer = found->second;
    if (added) {
        customer.name = name;
        customer.limit = state.limits.at(key);
        customer.shards = quotaShardsOf(key);
    }
    return customer;
}

static double demandAt(const quota_customer& customer, time_point now)
{
    return customer.demand * std::exp(-std::chrono::duration<double>(now - customer.askedAt).count() / DemandSeconds);
}

void countQuotaDemand(quota_customer& customer, time_point now)
{
    customer.demand = demandAt(customer, now) + 1;
    customer.askedAt = now;
}

/** Drops tokens that have expired. */
static void dropExpired(quota_balance& balance, time_point now)
{
    if (now >= balance.expiresAt)
        balance.held = 0;
    if (now >= balance.formerExpiresAt)
        balance.former = 0;
}

std::optional<quota_token> takeQuotaToken(quota_state& state, std::uint64_t key, time_point now)
{
    const auto found = state.customers.find(key);
    if (found == state.customers.end())
        return std::nullopt;
    auto& customer = found->second;
    std::optional<std::size_t> best;
    for (std::size_t part = 0; part < customer.balances.size(); ++part) {
        auto& balance = customer.balances[part];
        dropExpired(balance, now);
        if (balance.former > 0) { // These cannot be renewed.
            --balance.former;
            ++customer.admitted;
            return quota_token { key, part, 0 };
        }
        if (balance.held > 0 && (!best || balance.held > customer.balances[*best].held))
            best = part;
    }
    if (!best)
        return std::nullopt;
    --customer.balances[*best].held;
    ++customer.admitted;
    return quota_token { key, *best, state.links[customer.shards[*best]].brokerIncarnation };
}

void returnQuotaToken(quota_state& state, const quota_token& token)
{
    const auto found = state.customers.find(token.customer);
    if (found == state.customers.end())
        return;
    auto& customer = found->second;
    customer.admitted -= customer.admitted > 0 ? 1 : 0;
    if (token.brokerIncarnation != 0 && token.brokerIncarnation == state.links[customer.shards[token.part]].brokerIncarnation)
        ++customer.balances[token.part].held;
}

static bool isFresh(const quota_balance& balance, time_point now)
{
    return balance.answeredAt != time_point {} && now - balance.answeredAt <= BrokerSilence;
}

milliseconds quotaWait(const quota_customer& customer, time_point now)
{
    milliseconds wait = milliseconds::max();
    for (std::size_t part = 0; part < customer.limit.parts; ++part) {
        const auto& balance = customer.balances[part];
        wait = std::min(wait, isFresh(balance, now) ? milliseconds(balance.waitMs) : milliseconds(0));
    }
    return wait;
}

milliseconds quotaRoundTrip(const quota_state& state, const quota_customer& customer)
{
    milliseconds longest { 0 };
    for (std::size_t part = 0; part < customer.limit.parts; ++part)
        longest = std::max(longest, std::chrono::duration_cast<milliseconds>(state.links[customer.shards[part]].roundTrip));
    return longest;
}

/** Makes the tokens of a shard's broker former ones, after it was replaced or has started anew. @param keep whether they may still be
 *  used until they expire; not if their broker is chosen again, which would not count them. */
static void replaceTokens(quota_state& state, std::uint32_t shard, bool keep, time_point now)
{
    for (auto& [key, customer] : state.customers) {
        for (std::size_t part = 0; part < customer.limit.parts; ++part) {
            auto& balance = customer.balances[part];
            if (customer.shards[part] != shard)
                continue;
            dropExpired(balance, now);
            balance.formerExpiresAt = balance.former > 0 ? std::min(balance.formerExpiresAt, balance.expiresAt) : balance.expiresAt;
            balance.former = keep ? balance.former + balance.held : 0;
            balance.held = 0;
            balance.answeredAt = {};
        }
    }
}

/** Whether the broker of a link answers. */
static bool isSilent(const quota_link& link, time_point now)
{
    return link.unanswered >= MinUnanswered && now - link.unansweredSince >= BrokerSilence;
}

/** Chooses the broker of a shard: the best live VM in a rendezvous hash, without those that do not answer this VM. */
static void chooseBroker(quota_state& state, std::uint32_t shard, const quota_view& view, time_point now)
{
    auto& link = state.links[shard];
    if (!link.broker.empty() && link.broker != view.self && isSilent(link, now))
        link.avoided[link.broker] = now + BrokerAvoidance;
    std::erase_if(link.avoided, [&](const auto& item) { return now >= item.second; });
    std::vector<rendezvous_candidate> candidates;
    for (const auto& member : view.alive) {
        const bool usable = member.vm == view.self || (link.avoided.count(member.vm) == 0 && link.avoided.size() < MaxAvoided);
        if (usable)
            candidates.push_back({ member.vm, member.capacity });
    }
    if (candidates.empty())
        return;
    const std::string best(candidates[rendezvousOrder(stableHash("quota", shard), candidates).front()].name);
    if (best == link.broker)
        return;
    replaceTokens(state, shard, best != link.formerBroker, now);
    link.formerBroker = std::exchange(link.broker, best);
    link.brokerIncarnation = 0;
    link.stamp = 0;
    link.unanswered = 0;
    link.answeredAt = {};
    link.sentAt = {};
    link.roundAt = {};
}

/** Tokens that a VM keeps of a customer: those of the time until the next answer, and one in addition while there are plenty. */
static std::uint32_t targetOf(const quota_state& state, const quota_customer& customer, time_point now)
{
    bool plenty = false;
    for (std::size_t part = 0; part < customer.limit.parts; ++part)
        plenty = plenty || (isFresh(customer.balances[part], now) && customer.balances[part].plenty);
    const auto span = QuotaRound + HoldMargin + quotaRoundTrip(state, customer);
    const double demand = demandAt(customer, now);
    if (demand < MinDemand)
        return 0;
    const double tokens = demand * std::chrono::duration<double>(span).count();
    return static_cast<std::uint32_t>(plenty ? std::ceil(tokens + 1) : std::floor(tokens + 0.5));
}

/** What is asked of the broker of one part of a quota: half of the target, or all of it if the other part has no tokens. */
static std::uint32_t targetOfPart(const quota_state& state, const quota_customer& customer, std::size_t part, time_point now)
{
    const auto target = targetOf(state, customer, now) + static_cast<std::uint32_t>(customer.waiting.size());
    if (customer.limit.parts == 1)
        return target;
    const auto& other = customer.balances[1 - part];
    return isFresh(other, now) && other.waitMs == 0 ? (target + 1) / 2 : target;
}

/** The row of a customer for the broker of one of its parts. Returns tokens that it does not need. */
static quota_ask_row rowOf(const quota_state& state, std::uint64_t key, quota_customer& customer, std::size_t part, time_point now)
{
    auto& balance = customer.balances[part];
    dropExpired(balance, now);
    const auto target = targetOfPart(state, customer, part, now);
    quota_ask_row row;
    row.customer = key;
    row.acknowledged = balance.acknowledged;
    if (balance.held > target + 1 || target == 0) { // One too many is kept: returning it costs more than it brings.
        row.returned = balance.held - target;
        balance.held = target;
    }
    row.held = balance.held;
    row.wanted = target > balance.held ? target - balance.held : 0;
    return row;
}

/** Makes one message to the broker of a shard. Delegates the share of this VM unless another broker may still count it. */
static quota_outgoing makeAsk(quota_state& state, std::uint32_t shard, std::vector<quota_ask_row> rows, const quota_view& view, time_point now)
{
    auto& link = state.links[shard];
    quota_ask ask;
    ask.vm = view.self;
    ask.incarnation = view.incarnation;
    ask.shard = shard;
    ask.sequence = ++state.lastSequence;
    ask.brokerIncarnation = link.brokerIncarnation;
    ask.stamp = link.stamp;
    ask.rows = std::move(rows);
    const bool sameBroker = link.delegatedTo == link.broker && link.delegatedIncarnation == link.brokerIncarnation;
    if (view.share > 0 && link.brokerIncarnation != 0 && (sameBroker || now >= link.delegatedUntil)) {
        ask.share = view.share;
        link.delegatedTo = link.broker;
        link.delegatedIncarnation = link.brokerIncarnation;
        link.delegatedUntil = std::max(link.delegatedUntil, link.stampAt + DelegationLifetime);
    }
    if (link.unanswered++ == 0)
        link.unansweredSince = now;
    link.sentAt = now;
    link.sent.emplace_back(ask.sequence, now);
    if (link.sent.size() > MaxSentKept)
        link.sent.pop_front();
    ++state.asksSent;
    return { link.broker, { std::move(ask), std::nullopt } };
}

std::vector<quota_outgoing> askForWaiting(quota_state& state, std::uint64_t key, const quota_view& view, time_point now)
{
    std::vector<quota_outgoing> messages;
    auto& customer = state.customers.at(key);
    for (std::size_t part = 0; part < customer.limit.parts; ++part) {
        const auto& link = state.links[customer.shards[part]];
        if (link.broker.empty() || now - link.sentAt < QuotaMinGap)
            continue;
        messages.push_back(makeAsk(state, customer.shards[part], { rowOf(state, key, customer, part, now) }, view, now));
    }
    return messages;
}

/** Rows of all customers that the VM has something to tell about in a shard. */
static std::vector<quota_ask_row> rowsOf(quota_state& state, std::uint32_t shard, time_point now)
{
    std::vector<quota_ask_row> rows;
    for (auto& [key, customer] : state.customers) {
        for (std::size_t part = 0; part < customer.limit.parts; ++part) {
            if (customer.shards[part] != shard)
                continue;
            const auto row = rowOf(state, key, customer, part, now);
            if (row.held + row.returned + row.wanted > 0 || demandAt(customer, now) >= MinDemand)
                rows.push_back(row);
        }
    }
    return rows;
}

/** Forgets customers that had no request for a while and hold no token. While a broker may still count tokens of them, the counters of
 *  seen tokens are kept. */
static void dropIdleCustomers(quota_state& state, time_point now)
{
    std::erase_if(state.customers, [&](const auto& item) {
        const auto& customer = item.second;
        const bool holds = std::any_of(customer.balances.begin(), customer.balances.end(), [](const auto& balance) { return balance.held + balance.former > 0; });
        return !holds && customer.waiting.empty() && now - customer.askedAt >= ForgetCustomerAfter && !customer.limited;
    });
}

std::vector<quota_outgoing> runQuotaRound(quota_state& state, const quota_view& view, time_point now)
{
    std::vector<quota_outgoing> messages;
    if (state.limits.empty())
        return messages;
    dropIdleCustomers(state, now);
    for (std::uint32_t shard = 0; shard < QuotaShards; ++shard) {
        chooseBroker(state, shard, view, now);
        auto& link = state.links[shard];
        if (link.broker.empty() || now - link.roundAt < QuotaRound - RoundTolerance)
            continue;
        const auto rows = rowsOf(state, shard, now);
        const bool idle = rows.empty() && link.unanswered == 0 && link.delegatedTo == link.broker;
        if (idle && now - link.roundAt < QuotaIdleRound - RoundTolerance)
            continue;
        link.roundAt = now;
        for (std::size_t from = 0; from == 0 || from < rows.size(); from += MaxQuotaRows)
            messages.push_back(makeAsk(state, shard, { rows.begin() + static_cast<std::ptrdiff_t>(from), rows.begin() + static_cast<std::ptrdiff_t>(std::min(rows.size(), from + MaxQuotaRows)) }, view, now));
    }
    return messages;
}

/** Applies one row of an answer. */
static void applyRow(quota_state& state, std::uint32_t shard, std::uint64_t sequence, const quota_answer_row& row, time_point sentAt, time_point now)
{
    const auto found = state.customers.find(row.customer);
    if (found == state.customers.end())
        return;
    auto& customer = found->second;
    for (std::size_t part = 0; part < customer.limit.parts; ++part) {
        auto& balance = customer.balances[part];
        if (customer.shards[part] != shard || sequence <= balance.acknowledged)
            continue;
        dropExpired(balance, now);
        balance.acknowledged = sequence;
        balance.answeredAt = now;
        balance.waitMs = row.waitMs;
        balance.plenty = row.plenty;
        if (!row.renewed)
            continue;
        balance.expiresAt = std::max(balance.expiresAt, sentAt + TokenLifetime);
        balance.held += row.granted;
    }
}

bool acceptQuotaAnswer(quota_state& state, const quota_view& view, const quota_answer& answer, time_point now)
{
    if (answer.shard >= QuotaShards || answer.to != view.self || answer.toIncarnation != view.incarnation)
        return false;
    auto& link = state.links[answer.shard];
    const auto sent = std::find_if(link.sent.begin(), link.sent.end(), [&](const auto& item) { return item.first == answer.sequence; });
    if (answer.vm != link.broker || sent == link.sent.end())
        return false;
    if (link.brokerIncarnation != answer.incarnation && answer.sequence < link.acknowledged)
        return false; // Of the start of the broker before the present one.
    if (link.brokerIncarnation != answer.incarnation) {
        if (link.brokerIncarnation != 0)
            replaceTokens(state, answer.shard, true, now);
        link.brokerIncarnation = answer.incarnation;
    }
    if (answer.sequence > link.acknowledged) {
        link.acknowledged = answer.sequence;
        link.stamp = answer.stamp;
        link.stampAt = now;
    }
    link.answeredAt = now;
    link.roundTrip = now - sent->second;
    link.unanswered = 0;
    for (const auto& row : answer.rows)
        applyRow(state, answer.shard, answer.sequence, row, sent->second, now);
    return true;
}

} // namespace lhub
