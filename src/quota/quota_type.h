/** @file quota_type.h Quotas of customers over all VMs: tokens, shards, and the messages between VMs and brokers. */
#pragma once

#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lhub {

/** Number of shards. Each has one broker at a time, so that the load of brokers is spread over several VMs. */
inline constexpr std::size_t QuotaShards = 4;
/** Time between two messages of a VM to a broker. */
inline constexpr milliseconds QuotaRound { 200 };
/** The same while the VM has nothing to tell except that it delegates its share. */
inline constexpr milliseconds QuotaIdleRound { 400 };
/** Time between two messages of a VM to a broker while requests wait. */
inline constexpr milliseconds QuotaMinGap { 20 };
/** While requests wait, an unanswered message is repeated after this time. */
inline constexpr milliseconds QuotaRepeatTime { 60 };
/** Tokens are valid for this long after the VM sent the message whose answer granted or renewed them; four rounds. */
inline constexpr milliseconds TokenLifetime { 800 };
/** A broker may use a delegated share for this long after it sent the stamp that the delegation echoes. Longer than TokenLifetime
 *  by six rounds, so that links that lose a third of the exchanges rarely interrupt it. */
inline constexpr milliseconds DelegationLifetime { 2000 };
/** A broker that has not answered for this long is replaced; three rounds. */
inline constexpr milliseconds BrokerSilence { 600 };
/** A replaced broker is not chosen again for this long; gossip notices within it if the VM has died. */
inline constexpr milliseconds BrokerAvoidance { 5000 };
/** Longest time that a request waits for a token. */
inline constexpr milliseconds MaxTokenWait { 250 };

/** What a quota allows, as refill and depth of a bucket. */
struct quota_limit {
    double perSecond = 0; ///< Tokens added in a second.
    double depth = 0; ///< Most tokens that may be unused at a time, at brokers and VMs together.
    milliseconds window { 5000 }; ///< Window that the quota is counted over.
    std::uint8_t parts = 1; ///< Shards that the quota is divided over, 1 or 2. Two keep half of the quota available while one broker is replaced.

    bool operator==(const quota_limit&) const = default;
};

/** The limits of all customers with a quota, by quotaKey(). */
using quota_limits = std::unordered_map<std::uint64_t, quota_limit>;

/** Row of a quota_ask: one customer. */
struct quota_ask_row {
    std::uint64_t customer = 0; ///< quotaKey() of its name.
    std::uint64_t acknowledged = 0; ///< quota_answer::sequence of the newest answer about the customer that it has accepted; 0 for none.
    std::uint32_t held = 0; ///< Unused tokens of this broker that the VM keeps.
    std::uint32_t returned = 0; ///< Tokens that the VM gives back with this message.
    std::uint32_t wanted = 0; ///< Tokens that it asks for in addition to those held.
};

/** Message of a VM to the broker of a shard. */
struct quota_ask {
    std::string vm; ///< Name of the sender.
    std::uint64_t incarnation = 0; ///< Start of the sender; see member_record.
    std::uint32_t shard = 0;
    std::uint64_t sequence = 0; ///< Rises with each message of the sender.
    std::uint64_t brokerIncarnation = 0; ///< Start of the broker that sent the echoed stamp; 0 without one.
    std::int64_t stamp = 0; ///< Newest quota_answer::stamp received from the broker; 0 without one.
    double share = 0; ///< Part of every quota that the sender delegates, 0 to 1; 0 when it delegates nothing.
    std::vector<quota_ask_row> rows;
};

/** Row of a quota_answer: one customer. */
struct quota_answer_row {
    std::uint64_t customer = 0; ///< quotaKey() of its name.
    std::uint32_t granted = 0; ///< New tokens.
    std::uint32_t waitMs = 0; ///< Expected time until tokens are there for all that was wanted; 0 when all was granted.
    bool plenty = false; ///< At least half of the depth is left at the broker.
    bool renewed = true; ///< The VM's unused tokens are renewed. False after the broker lost shares, and then nothing is granted.
};

/** Answer of a broker to one quota_ask. */
struct quota_answer {
    std::string vm; ///< Name of the broker.
    std::uint64_t incarnation = 0; ///< Start of the broker.
    std::string to; ///< Name of the VM that asked.
    std::uint64_t toIncarnation = 0; ///< Start of the VM that asked.
    std::uint32_t shard = 0;
    std::uint64_t sequence = 0; ///< quota_ask::sequence of the message that it answers.
    std::int64_t stamp = 0; ///< Time of the broker's monotonic clock in milliseconds, to be echoed.
    std::vector<quota_answer_row> rows;
};

/** A received message: exactly one member is set. */
struct quota_message {
    std::optional<quota_ask> ask;
    std::optional<quota_answer> answer;
};

/** A share that a VM has delegated to this broker. */
struct quota_delegation {
    std::uint64_t incarnation = 0; ///< Start of the VM.
    std::uint64_t formerIncarnation = 0; ///< The start before; its messages are ignored.
    double share = 0; ///< 0 when it delegates nothing.
    time_point countedSince {}; ///< Since when the share is counted without interruption.
    time_point countedUntil {}; ///< Until when it is counted: tokens granted then expire with the delegation.
    time_point heardAt {}; ///< When the newest message arrived.
};

/** Tokens of one customer at one VM, as its broker knows them. */
struct quota_holder {
    std::uint64_t sequence = 0; ///< Newest message with a row of the customer; rows of older ones are ignored.
    std::uint32_t held = 0; ///< Unused tokens at that message.
    std::uint32_t wanted = 0; ///< What it asked for and did not get.
    std::vector<std::pair<std::uint64_t, std::uint32_t>> unacknowledged; ///< Sequence and tokens of answers that the VM may not have received.
    time_point expiresAt {}; ///< The VM has no token after this.
};

/** Bucket of one customer at the broker of a shard. */
struct quota_bucket {
    double level = 0; ///< Tokens that can be granted.
    double credit = 0; ///< Tokens that a bucket that was full when the newest share joined would have in addition. Added to level one window
                       ///< after that, when no request under an earlier broker of the share counts any more.
    double refilledAt = 0; ///< quota_shard_broker::shareSeconds when it was last refilled.
    std::map<std::string, quota_holder> holders; ///< By name of the VM.
};

/** What a VM keeps as broker of one shard. */
struct quota_shard_broker {
    std::map<std::string, quota_delegation> delegations; ///< By name of the VM.
    std::unordered_map<std::uint64_t, quota_bucket> buckets; ///< By customer; a full bucket that nobody uses is removed.
    double shareSeconds = 0; ///< Integral over time of the sum of the counted shares, in seconds.
    time_point advancedAt {}; ///< Until when shareSeconds is computed.
    time_point joinedAt {}; ///< When a share was last newly delegated.
    double counted = 0; ///< Sum of the shares counted at advancedAt, at most 1.
    bool announced = false; ///< The log says that this VM is the broker.
    time_point prunedAt {}; ///< When unused entries were last removed.
};

/** Tokens of one customer at this VM, from the broker of one shard. */
struct quota_balance {
    std::uint64_t acknowledged = 0; ///< Sequence of the newest accepted answer about the customer.
    std::uint32_t held = 0; ///< Unused tokens.
    time_point expiresAt {}; ///< They must not be used from then on.
    std::uint32_t former = 0; ///< Unused tokens of the broker before; not renewed.
    time_point formerExpiresAt {}; ///< The same for them.
    std::uint32_t waitMs = 0; ///< As in the broker's newest answer.
    bool plenty = false; ///< As in the broker's newest answer.
    time_point answeredAt {}; ///< When the broker last answered about the customer; the epoch before the first time.
};

/** A customer that this VM serves. */
struct quota_customer {
    std::string name;
    quota_limit limit;
    std::array<std::uint32_t, 2> shards {}; ///< Its shards; only the first limit.parts are used.
    std::array<quota_balance, 2> balances; ///< In the order of shards.
    double demand = 0; ///< Requests, decayed with a time constant of one second.
    time_point askedAt {}; ///< When its newest request came.
    std::deque<std::uint64_t> waiting; ///< Ids of the requests that wait for a token, oldest first; some may have ended.
    std::uint64_t admitted = 0; ///< Requests that got a token, less those whose token came back.
    std::uint64_t refused = 0; ///< Requests that got none.
    time_point refusedAt {}; ///< When a request last got none; the epoch before the first time.
    bool limited = false; ///< The state that was logged last.
};

/** What a VM keeps about the broker of one shard. */
struct quota_link {
    std::string broker; ///< Name of the VM; empty before one was chosen.
    std::uint64_t brokerIncarnation = 0; ///< Start of the broker; 0 before its first answer.
    std::int64_t stamp = 0; ///< Newest stamp of the broker.
    time_point stampAt {}; ///< When it arrived.
    time_point answeredAt {}; ///< When it last answered; the epoch before the first time.
    std::string formerBroker; ///< The broker before; tokens of it may still be valid.
    time_point sentAt {}; ///< When the newest message was sent.
    time_point roundAt {}; ///< When the newest message with the rows of all customers was sent.
    time_point unansweredSince {}; ///< When the first message after the newest answer was sent.
    std::uint32_t unanswered = 0; ///< Messages sent since the newest answer.
    time_point::duration roundTrip {}; ///< Of the newest answer.
    std::uint64_t acknowledged = 0; ///< Sequence of the newest answer.
    std::deque<std::pair<std::uint64_t, time_point>> sent; ///< Sequence and time of the newest messages, oldest first.
    std::string delegatedTo; ///< Broker that may still count the share of this VM; empty for none.
    std::uint64_t delegatedIncarnation = 0; ///< Start of that broker.
    time_point delegatedUntil {}; ///< Until when it may.
    std::map<std::string, time_point> avoided; ///< Brokers that did not answer: until when they are not chosen.
};

/** A token that a request has taken. */
struct quota_token {
    std::uint64_t customer = 0; ///< quotaKey() of its name.
    std::size_t part = 0; ///< Index into quota_customer::balances.
    std::uint64_t brokerIncarnation = 0; ///< Start of the broker that granted it; 0 for a broker that was replaced.
};

/** Quotas at one VM, in both roles. */
struct quota_state {
    quota_limits limits; ///< Of the configuration in force; empty when no customer has a quota, and then all the rest is too.
    std::unordered_map<std::uint64_t, quota_customer> customers; ///< Customers that this VM serves.
    std::array<quota_link, QuotaShards> links; ///< To the broker of each shard.
    std::array<quota_shard_broker, QuotaShards> brokers; ///< This VM as broker.
    std::uint64_t lastSequence = 0; ///< Of the messages that this VM sent.
    std::uint64_t asksReceived = 0;
    std::uint64_t asksSent = 0;
};

/** A VM that can be a broker. */
struct quota_member {
    std::string vm;
    double capacity = 1; ///< Weight in the choice of brokers.
};

/** What a VM knows about itself and the others when it sends messages. */
struct quota_view {
    std::string self; ///< Name of this VM.
    std::uint64_t incarnation = 0; ///< Start of this VM.
    double share = 0; ///< Part of this VM in every quota; 0 while the view is not settled, and then nothing is delegated.
    std::vector<quota_member> alive; ///< Live VMs, this one included.
};

/** A message with the VM that it goes to. */
struct quota_outgoing {
    std::string to; ///< Name of the VM.
    quota_message message;
};

} // namespace lhub
