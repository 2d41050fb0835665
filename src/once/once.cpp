/** @file once.cpp Keys that name their home need no store: one process decides, and remembers what it decided. */
#include "once/once_func.h"

#include <charconv>

namespace lhub {

constexpr std::string_view KeyMark = "lhub";

/** Cuts the text up to the next dot off @p rest. */
static std::string_view nextPart(std::string_view& rest)
{
    const auto dot = rest.find('.');
    const auto part = rest.substr(0, dot);
    rest = dot == std::string_view::npos ? std::string_view() : rest.substr(dot + 1);
    return part;
}

/** A whole number; nothing when the text is none. */
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
    if (nextPart(rest) != KeyMark)
        return std::nullopt;
    home_key home;
    home.vm = std::string(nextPart(rest));
    const auto incarnation = parseNumber(nextPart(rest));
    const auto minted = parseNumber(nextPart(rest));
    if (home.vm.empty() || !incarnation || !minted || rest.empty())
        return std::nullopt;
    home.incarnation = *incarnation;
    home.minted = seconds(*minted);
    return home;
}

static seconds wholeSeconds(time_point now) { return std::chrono::duration_cast<seconds>(now.time_since_epoch()); }

std::string makeKeyPrefix(const std::string& vm, std::uint64_t incarnation, time_point now)
{
    return std::string(KeyMark) + "." + vm + "." + std::to_string(incarnation) + "."
        + std::to_string(wholeSeconds(now).count()) + ".";
}

home_claim claimAtHome(
    key_memory& memory, const std::string& key, const home_key& home, const std::string& requestId, time_point now)
{
    const auto found = memory.used.find(key);
    if (found != memory.used.end()) {
        const bool same = found->second.requestId == requestId;
        return { same ? claim_result::First : claim_result::Repeated, found->second.known };
    }
    const auto present = wholeSeconds(now);
    const bool isVoid = home.minted > present || present >= home.minted + memory.lifetime;
    if (isVoid || memory.used.size() >= memory.mostKeys)
        return { claim_result::Unknown, verdict::MayHaveRun };
    const auto forget = time_point(home.minted + memory.lifetime + seconds(1));
    memory.used[key] = { requestId, verdict::MayHaveRun, forget };
    return { claim_result::First, verdict::NotRun };
}

void settleAtHome(key_memory& memory, const std::string& key, const std::string& requestId, verdict known)
{
    const auto found = memory.used.find(key);
    if (found == memory.used.end() || found->second.requestId != requestId)
        return;
    if (known == verdict::NotRun)
        memory.used.erase(found);
    else
        found->second.known = known;
}

void forgetOldKeys(key_memory& memory, time_point now)
{
    std::erase_if(memory.used, [&](const auto& item) { return now >= item.second.forget; });
}

} // namespace lhub
