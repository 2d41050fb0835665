/** @file quota_func.h Quotas of customers over all VMs. The time is passed in; nothing here is thread safe unless it says so. */
#pragma once

#include "quota/quota_type.h"
#include <string_view>

namespace lhub {

/** Identifies a customer in messages. Equal on all VMs. Thread safe. */
std::uint64_t quotaKey(std::string_view customer);

/**
 * The limit by which at most rate x window + burst requests run in any window. The depth is the burst, or more where the burst is
 * too small to keep tokens at the VMs; the refill is lowered for that. Thread safe.
 */
quota_limit quotaLimitOf(double requestsPerSecond, double burst, milliseconds window);

/** The shards of a customer; only the first quota_limit::parts are used. Thread safe. */
std::array<std::uint32_t, 2> quotaShardsOf(std::uint64_t customer);

/** Puts new limits in force. @return requests that waited for a token of a customer that has no quota any more. */
std::vector<std::uint64_t> setQuotaLimits(quota_state& state, quota_limits limits);

/** The customer of a key, whom this VM serves from now on. Precondition: it has a limit. */
quota_customer& quotaCustomer(quota_state& state, std::uint64_t key, const std::string& name);

/** Counts a request of a customer in its demand. */
void countQuotaDemand(quota_customer& customer, time_point now);

/** Takes a token if this VM has one. */
std::optional<quota_token> takeQuotaToken(quota_state& state, std::uint64_t key, time_point now);

/** Gives a token back whose request did not run. It is lost if its broker was replaced meanwhile. */
void returnQuotaToken(quota_state& state, const quota_token& token);

/** Expected time until a token comes, by the newest answers of the brokers; 0 if one may come with the next answer. */
milliseconds quotaWait(const quota_customer& customer, time_point now);

/** Longest round trip to the brokers of a customer; 0 before the first answer. */
milliseconds quotaRoundTrip(const quota_state& state, const quota_customer& customer);

/** Messages for requests of the customer that wait; none to brokers that were sent one within QuotaMinGap. */
std::vector<quota_outgoing> askForWaiting(quota_state& state, std::uint64_t key, const quota_view& view, time_point now);

/** Periodic work: chooses brokers and makes the messages that are due. Call it every QuotaRound. */
std::vector<quota_outgoing> runQuotaRound(quota_state& state, const quota_view& view, time_point now);

/** Handles the ask of a VM as broker. Rows that are old or repeated are not answered. @return the answer; nothing for an ask of an earlier start of the VM. */
std::optional<quota_answer> answerQuotaAsk(quota_state& state, const quota_view& view, const quota_ask& ask, time_point now);

/** Handles the answer of a broker. Rows that are old or repeated are ignored. @return false if it is from a VM that is not the broker any more. */
bool acceptQuotaAnswer(quota_state& state, const quota_view& view, const quota_answer& answer, time_point now);

/** Sum of the shares that this VM counts as broker of a shard at @p now. Thread safe on a const object. */
double countedShare(const quota_shard_broker& broker, time_point now);

/** Encodes a message; at most MaxQuotaRows rows keep it below 8 KB. Thread safe. */
std::string encodeQuotaMessage(const quota_message& message);

/** Decodes a message; nothing if any part of it is malformed or out of range. Thread safe. */
std::optional<quota_message> decodeQuotaMessage(std::string_view text);

/** How every encoded message starts. */
inline constexpr std::string_view QuotaMessageStart = "{\"quota\":";

/** Most rows of a message, at most 72 bytes each. */
inline constexpr std::size_t MaxQuotaRows = 96;

} // namespace lhub
