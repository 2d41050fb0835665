/** @file idempotency.cpp Idempotency keys that name their home VM: that VM decides on claims in its memory, without the store. */
#include "idempotency/idempotency_func.h"

#include <charconv>

namespace lhub {

/** First part of every key that names its home. */
constexpr std::string_view KeyTag = "lhub";

/** Removes the text up to the next dot from @p rest, with the dot, and returns it without the dot. */
static std::string_view nextPart(std::string_view& rest)
{
    const auto dot = rest.find('.');
    const auto part = rest.substr(0, dot);
    rest = dot == std::string_view::npos ? std::string_view() : rest.substr(dot + 1);
    return part;
}

/** Parses a whole decimal number; nothing when the text is not one. */
static std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<home_key> parseHomeKey(const std::string& key)
{
    std::string_view rest = key;
    if (nextPart(rest) != KeyTag)
        return std::nullopt;
    home_key home;
    home.vm = std::string(nextPart(rest));
    const auto incarnation = parseNumber(nextPart(rest));
    const auto issuedAt = parseNumber(nextPart(rest));
    if (home.vm.empty() || !incarnation || !issuedAt || rest.empty())
        return std::nullopt;
    home.incarnation = *incarnation;
    home.issuedAt = seconds(*issuedAt);
    return home;
}

static seconds wholeSeconds(time_point now) { return std::chrono::duration_cast<seconds>(now.time_since_epoch()); }

std::string makeKeyPrefix(const std::string& vm, std::uint64_t incarnation, time_point now)
{
    return std::string(KeyTag) + "." + vm + "." + std::to_string(incarnation) + "."
        + std::to_string(wholeSeconds(now).count()) + ".";
}

home_claim claimAtHome(
    key_memory& memory, const std::string& key, const home_key& home, const std::string& requestId, time_point now)
{
    const auto found = memory.records.find(key);
    if (found != memory.records.end()) {
        const bool same = found->second.requestId == requestId;
        return { same ? claim_result::First : claim_result::Repeated, found->second.known };
    }
    const auto nowSeconds = wholeSeconds(now);
    const bool outsideLifetime = home.issuedAt > nowSeconds || nowSeconds >= home.issuedAt + memory.prefixLifetime;
    if (outsideLifetime || memory.records.size() >= memory.maxKeys)
        return { claim_result::Unknown, verdict::MayHaveRun };
    const auto expiresAt = time_point(home.issuedAt + memory.prefixLifetime + seconds(1));
    memory.records[key] = { requestId, verdict::MayHaveRun, expiresAt };
    return { claim_result::First, verdict::NotRun };
}

void settleAtHome(key_memory& memory, const std::string& key, const std::string& requestId, verdict known)
{
    const auto found = memory.records.find(key);
    if (found == memory.records.end() || found->second.requestId != requestId)
        return;
    if (known == verdict::NotRun)
        memory.records.erase(found);
    else
        found->second.known = known;
}

void removeExpiredKeys(key_memory& memory, time_point now)
{
    std::erase_if(memory.records, [&](const auto& item) { return now >= item.second.expiresAt; });
}

} // namespace lhub
