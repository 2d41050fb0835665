/** @file quota_broker.cpp The broker's side: shares that VMs delegate, and tokens granted from buckets. */
#include "quota/quota_func.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lhub {

/** A broker that counts at least this share may hold one token of a quota whose depth is smaller. At most 1 / MinTokenShare brokers
 *  of a shard exist at a time, so that this adds less than quota_slack. */
static constexpr double MinTokenShare = 0.25;
/** Wait told while no share is counted; about the time until shares are delegated. */
static constexpr std::uint32_t NoShareWaitMs = 1000;
/** Longest wait that is told: the window of the rule. */
static constexpr double MaxWaitMs = 5000;
/** Most tokens in one answer; keeps an unlimited share within the range of integers. */
static constexpr double MaxGrant = 1'000'000;
/** A VM that was not heard for this long is forgotten; longer than any token or delegation is valid. */
static constexpr milliseconds ForgetVmAfter { 10'000 };
/** Time between two removals of unused entries. */
static constexpr milliseconds PruneInterval { 2000 };
/** Relative growth of a share from which its grown part counts as newly delegated. */
static constexpr double NotableGrowth = 1.01;

static double toSeconds(time_point::duration span) { return std::chrono::duration<double>(span).count(); }

static double clampedSum(double sum) { return std::min(1.0, sum); }

double countedShare(const quota_shard_broker& broker, time_point now)
{
    double sum = 0;
    for (const auto& [vm, delegation] : broker.delegations)
        sum += now < delegation.countedUntil ? delegation.share : 0;
    return clampedSum(sum);
}

static std::uint32_t outstandingOf(const quota_holder& holder, time_point now)
{
    if (now >= holder.expiresAt)
        return 0;
    std::uint32_t sum = holder.held;
    for (const auto& [sequence, tokens] : holder.unacknowledged)
        sum += tokens;
    return sum;
}

static double outstandingOf(const quota_bucket& bucket, time_point now)
{
    double sum = 0;
    for (const auto& [vm, holder] : bucket.holders)
        sum += outstandingOf(holder, now);
    return sum;
}

/** Most unused tokens of a customer, at the broker and at VMs together. */
static double capOf(const quota_shard_broker& broker, const quota_limit& limit)
{
    const double cap = broker.counted * limit.depth / limit.parts;
    return broker.counted >= MinTokenShare ? std::max(1.0, cap) : cap;
}

/** Adds the tokens since the last refill. Unused tokens beyond the cap are dropped, whether they are here or at VMs. */
static void refill(const quota_shard_broker& broker, const quota_limit& limit, quota_bucket& bucket, time_point now)
{
    bucket.level += (broker.shareSeconds - bucket.refilledAt) * limit.perSecond / limit.parts;
    bucket.refilledAt = broker.shareSeconds;
    const double room = std::max(0.0, capOf(broker, limit) - outstandingOf(bucket, now));
    bucket.level = std::min(bucket.level, room);
    bucket.credit = std::min(bucket.credit, room - bucket.level);
    if (now - broker.joinedAt >= limit.window)
        bucket.level += std::exchange(bucket.credit, 0);
}

/** Refills all buckets of a shard after shares were lost, so that they do not keep tokens of these. */
static void refillAll(quota_shard_broker& broker, const quota_limits& limits, time_point now)
{
    for (auto& [customer, bucket] : broker.buckets) {
        if (const auto limit = limits.find(customer); limit != limits.end())
            refill(broker, limit->second, bucket, now);
    }
}

/** Brings the integral of the shares up to @p now, and drops the delegations that have ended. */
static void advance(quota_shard_broker& broker, const quota_limits& limits, time_point now)
{
    double sum = 0;
    double shareSeconds = 0;
    bool dropped = false;
    for (auto& [vm, delegation] : broker.delegations) {
        const auto until = std::min(now, delegation.countedUntil);
        sum += delegation.share;
        if (until > broker.advancedAt)
            shareSeconds += delegation.share * toSeconds(until - broker.advancedAt);
        if (delegation.share > 0 && delegation.countedUntil <= now) {
            delegation.share = 0;
            dropped = true;
        }
    }
    broker.shareSeconds += sum > 1 ? shareSeconds / sum : shareSeconds;
    broker.advancedAt = now;
    broker.counted = countedShare(broker, now);
    if (dropped)
        refillAll(broker, limits, now);
}

/** Removes VMs that are gone, and full buckets that nobody uses. */
static void prune(quota_shard_broker& broker, const quota_limits& limits, time_point now)
{
    if (now - broker.prunedAt < PruneInterval)
        return;
    broker.prunedAt = now;
    std::erase_if(broker.delegations, [&](const auto& item) { return now - item.second.heardAt > ForgetVmAfter; });
    for (auto item = broker.buckets.begin(); item != broker.buckets.end();) {
        const auto limit = limits.find(item->first);
        auto& bucket = item->second;
        std::erase_if(bucket.holders, [&](const auto& holder) { return now >= holder.second.expiresAt; });
        if (limit != limits.end())
            refill(broker, limit->second, bucket, now);
        const bool unused = limit == limits.end() || (bucket.holders.empty() && bucket.level >= capOf(broker, limit->second));
        item = unused ? broker.buckets.erase(item) : std::next(item);
    }
}

/** Records that a VM was heard. @return false if the ask is of an earlier start of it. */
static bool recordHeard(quota_shard_broker& broker, const quota_ask& ask, time_point now)
{
    auto& delegation = broker.delegations[ask.vm];
    if (delegation.incarnation != ask.incarnation) {
        if (delegation.formerIncarnation == ask.incarnation && ask.incarnation != 0)
            return false;
        delegation.formerIncarnation = delegation.incarnation;
        delegation.incarnation = ask.incarnation;
        for (auto& [customer, bucket] : broker.buckets)
            bucket.holders.erase(ask.vm); // The tokens ended with the former process.
    }
    delegation.heardAt = now;
    return true;
}

/** Credits all buckets for a share that is newly delegated. */
static void addCredit(quota_shard_broker& broker, const quota_limits& limits, double share, time_point now)
{
    refillAll(broker, limits, now);
    broker.joinedAt = now;
    for (auto& [customer, bucket] : broker.buckets) {
        if (const auto limit = limits.find(customer); limit != limits.end())
            bucket.credit += share * limit->second.depth / limit->second.parts;
    }
}

/** Counts the share that an ask delegates. Precondition: the shard is advanced. */
static void applyDelegation(quota_shard_broker& broker, const quota_limits& limits, std::uint64_t incarnation, const quota_ask& ask, time_point now)
{
    auto& delegation = broker.delegations[ask.vm];
    const time_point stampedAt { milliseconds(ask.stamp) };
    const auto countedUntil = stampedAt + DelegationLifetime - TokenLifetime;
    const bool valid = ask.share > 0 && ask.brokerIncarnation == incarnation && stampedAt <= now && countedUntil > now;
    const double before = delegation.share;
    if (valid) {
        if (ask.share > before * NotableGrowth) {
            delegation.countedSince = now;
            addCredit(broker, limits, ask.share - before, now);
        }
        delegation.share = ask.share;
        delegation.countedUntil = std::max(delegation.countedUntil, countedUntil);
    } else if (ask.share <= 0) {
        delegation.share = 0;
    }
    broker.counted = countedShare(broker, now);
    if (delegation.share < before)
        refillAll(broker, limits, now);
}

/** The bucket of a customer. A new one has what the shares have added since they were delegated. */
static quota_bucket& bucketOf(quota_shard_broker& broker, std::uint64_t customer, const quota_limit& limit, time_point now)
{
    const auto [found, added] = broker.buckets.try_emplace(customer);
    auto& bucket = found->second;
    if (added) {
        for (const auto& [vm, delegation] : broker.delegations) {
            const auto age = now - delegation.countedSince;
            const double full = delegation.share * limit.depth / limit.parts;
            const double level = age >= limit.window ? full : std::min(full, delegation.share * limit.perSecond * toSeconds(age) / limit.parts);
            bucket.level += level;
            bucket.credit += full - level;
        }
        bucket.refilledAt = broker.shareSeconds;
    }
    refill(broker, limit, bucket, now);
    return bucket;
}

/** Updates what a VM holds from its ask, and takes back what it returns. No more is taken back than was outstanding, so that a
 *  repeated or wrong message adds no tokens. */
static void applyHeld(quota_bucket& bucket, quota_holder& holder, const quota_ask_row& row, time_point now)
{
    const auto before = outstandingOf(holder, now);
    holder.held = row.held;
    std::erase_if(holder.unacknowledged, [&](const auto& grant) { return grant.first <= row.acknowledged; });
    if (now >= holder.expiresAt)
        holder.unacknowledged.clear();
    else
        bucket.level += std::min(row.returned, before - std::min(before, outstandingOf(holder, now)));
}

/** Tokens that each VM may have when @p available is divided among those that want it: what a VM wants below the result is granted. */
static double fairShare(const quota_bucket& bucket, double available, time_point now)
{
    std::vector<double> demands;
    for (const auto& [vm, holder] : bucket.holders) {
        if (now < holder.expiresAt)
            demands.push_back(outstandingOf(holder, now) + holder.wanted);
    }
    std::sort(demands.begin(), demands.end());
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double equal = available / static_cast<double>(demands.size() - i);
        if (demands[i] > equal)
            return equal;
        available -= demands[i];
    }
    return std::numeric_limits<double>::max();
}

/** Grants tokens for one row. @return nothing for a row that is old or repeated. */
static std::optional<quota_answer_row> grant(const quota_shard_broker& broker, const quota_limit& limit, quota_bucket& bucket, const quota_ask& ask, const quota_ask_row& row, time_point now)
{
    auto& holder = bucket.holders[ask.vm];
    if (ask.sequence <= holder.sequence)
        return std::nullopt;
    holder.sequence = ask.sequence;
    applyHeld(bucket, holder, row, now);
    const double cap = capOf(broker, limit);
    const double outstanding = outstandingOf(bucket, now);
    quota_answer_row answer;
    answer.customer = row.customer;
    holder.wanted = row.wanted;
    if (broker.counted <= 0 || outstanding > cap) {
        answer.renewed = false;
        answer.waitMs = NoShareWaitMs;
        return answer;
    }
    bucket.level = std::min(bucket.level, cap - outstanding);
    holder.expiresAt = now + TokenLifetime;
    const double share = fairShare(bucket, bucket.level + outstanding, now);
    const double own = outstandingOf(holder, now);
    if (share > own) // Rounded up, since otherwise no VM gets the last token.
        answer.granted = static_cast<std::uint32_t>(std::min({ static_cast<double>(row.wanted), std::floor(bucket.level), std::ceil(std::min(share - own, MaxGrant)) }));
    bucket.level -= answer.granted;
    holder.wanted -= answer.granted;
    if (answer.granted > 0)
        holder.unacknowledged.emplace_back(ask.sequence, answer.granted);
    answer.plenty = bucket.level >= std::max(cap / 2, 2.0 * static_cast<double>(bucket.holders.size())); // Enough for one more at each VM.
    if (holder.wanted == 0)
        return answer;
    double unmet = 0;
    for (const auto& [vm, other] : bucket.holders)
        unmet += now < other.expiresAt - TokenLifetime + QuotaRound ? other.wanted : 0; // Older wants may have been met by the other broker.
    const double perSecond = broker.counted * limit.perSecond / limit.parts;
    answer.waitMs = static_cast<std::uint32_t>(std::clamp(1000 * (unmet / limit.parts - bucket.level) / std::max(perSecond, 1e-9), 1.0, MaxWaitMs));
    return answer;
}

std::optional<quota_answer> answerQuotaAsk(quota_state& state, const quota_view& view, const quota_ask& ask, time_point now)
{
    if (state.limits.empty() || ask.shard >= QuotaShards)
        return std::nullopt;
    auto& broker = state.brokers[ask.shard];
    advance(broker, state.limits, now);
    if (!recordHeard(broker, ask, now))
        return std::nullopt;
    ++state.asksReceived;
    applyDelegation(broker, state.limits, view.incarnation, ask, now);
    quota_answer answer { view.self, view.incarnation, ask.vm, ask.incarnation, ask.shard, ask.sequence, std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count(), {} };
    for (const auto& row : ask.rows) {
        const auto limit = state.limits.find(row.customer);
        if (limit == state.limits.end())
            continue;
        const auto shards = quotaShardsOf(row.customer);
        const bool ours = shards[0] == ask.shard || (limit->second.parts == 2 && shards[1] == ask.shard);
        if (!ours)
            continue;
        if (const auto granted = grant(broker, limit->second, bucketOf(broker, row.customer, limit->second, now), ask, row, now))
            answer.rows.push_back(*granted);
    }
    prune(broker, state.limits, now);
    return answer;
}

} // namespace lhub
