/** @file pace.cpp Pace (slow start) of endpoints that have started or recovered. */
#include "pace/pace_func.h"

#include "core/hash.h"
#include "core/json_fields.h"
#include <algorithm>
#include <cmath>

namespace lhub {

static constexpr double MinLevel = 0.05; ///< With DoublingTime, an endpoint gets its full share 2.5 s after the last evidence against it.
static constexpr double StartLevel = 0.5; ///< Level at the begin of a pace.
static constexpr double GoodFactor = 1.5; ///< Factor on the level after a good answer.
static constexpr double BadFactor = 0.5; ///< Factor on the level after a bad one.
static constexpr milliseconds DoublingTime { 500 }; ///< Without evidence the level doubles after each such time.
/** Time after the begin of a pace in which bad answers lower a level that has reached 1: a VM that sees few answers reaches it without any. */
static constexpr milliseconds WatchTime { 5000 };
static constexpr double MinColdRate = 1; ///< Requests a second of the owner of a cold endpoint, so that answers go on to arrive.
static constexpr unsigned UpdateRounds = 2; ///< Rounds of gossip in which a VM sends a level; each VM that applies it does the same.
static constexpr std::uint64_t LevelSeed = 0x51a7; ///< Makes the part of the objects independent of the choice of the endpoint.
/** An update with the known level and evidence newer by less than this is the known one, with the delay of the messages; applying it would send it to and fro. */
static constexpr milliseconds MessageDelay { 250 };
static constexpr milliseconds MaxUpdateAge { std::chrono::hours(24) }; ///< Bound on the age in a received message.

static void beginPace(endpoint_pace& pace, bool cold, double level, time_point at)
{
    pace.begunAt = at;
    pace.cold = cold;
    pace.level = level;
    pace.evidenceAt = at;
    pace.roundsToSend = 0; // Other VMs see the begin themselves; only evidence is sent.
}

void updatePhase(endpoint_pace& pace, time_point coldUntil, time_point now)
{
    if (coldUntil == time_point {})
        return;
    if (now < coldUntil) {
        if (!pace.cold)
            beginPace(pace, true, StartLevel, now);
        return;
    }
    if (pace.cold || pace.begunAt < coldUntil)
        beginPace(pace, false, StartLevel, coldUntil);
}

void recordEjection(endpoint_pace& pace, time_point ejectedUntil, time_point now)
{
    const double half = std::max(MinLevel, levelAt(pace, now) * BadFactor);
    if (pace.cold) {
        pace.level = half;
        pace.evidenceAt = now;
        return;
    }
    beginPace(pace, false, std::min(StartLevel, half), ejectedUntil);
}

double levelAt(const endpoint_pace& pace, time_point now)
{
    if (pace.begunAt == time_point {})
        return 1;
    const double doublings = now <= pace.evidenceAt ? 0 : std::floor(std::chrono::duration<double>(now - pace.evidenceAt) / std::chrono::duration<double>(DoublingTime));
    return std::min(1.0, pace.level * std::exp2(std::min(doublings, 10.0)));
}

bool isPaced(const endpoint_pace& pace, time_point now)
{
    return pace.begunAt != time_point {} && (pace.cold || now < pace.begunAt + WatchTime || levelAt(pace, now) < 1);
}

void recordEvidence(endpoint_pace& pace, pace_evidence evidence, time_point sentAt, time_point now)
{
    if (evidence == pace_evidence::None || sentAt < pace.begunAt || !isPaced(pace, now))
        return;
    const double level = levelAt(pace, now);
    pace.level = evidence == pace_evidence::Good ? std::min(1.0, level * GoodFactor) : std::max(MinLevel, level * BadFactor);
    pace.roundsToSend = !pace.cold && (level < 1 || pace.level < 1) ? UpdateRounds : pace.roundsToSend;
    pace.evidenceAt = now;
}

std::optional<pace_change> paceChange(endpoint_pace& pace, time_point now)
{
    const double level = levelAt(pace, now);
    if (pace.cold || now < pace.begunAt || pace.logged == (level < 1))
        return std::nullopt;
    pace.logged = !pace.logged;
    return pace_change { {}, level, std::chrono::duration_cast<milliseconds>(now - pace.begunAt) };
}

bool isWithinLevel(std::uint64_t object, std::string_view endpoint, double level)
{
    constexpr double HashRange = 18446744073709551616.0; // 2^64
    return level >= 1 || static_cast<double>(stableHash(endpoint, object ^ LevelSeed)) / HashRange < level;
}

double coldRateAt(double level, double maxPerSecond) { return std::min(maxPerSecond, std::max(MinColdRate, level * maxPerSecond)); }

void applyPaceUpdate(endpoint_pace& pace, const pace_update& update, time_point now)
{
    const auto evidenceAt = now - update.age;
    if (pace.cold || !isPaced(pace, now) || evidenceAt <= pace.evidenceAt)
        return;
    if (evidenceAt <= pace.evidenceAt + MessageDelay && std::abs(update.level - pace.level) < 1e-6)
        return;
    pace.level = update.level;
    pace.evidenceAt = evidenceAt;
    pace.roundsToSend = UpdateRounds;
}

std::string encodePaceUpdates(const std::vector<pace_update>& updates)
{
    json::array rows;
    for (const auto& update : updates)
        rows.push_back(json::array { update.id, update.startUnixMs, update.level, update.age.count() });
    return json::serialize(json::object { { "paces", std::move(rows) } });
}

std::vector<pace_update> decodePaceUpdates(std::string_view message)
{
    if (!message.starts_with(R"({"paces")")) // Most messages are others.
        return {};
    const auto parsed = parseJson(message);
    if (!parsed)
        return {};
    std::vector<pace_update> result;
    try {
        for (const auto& row : parsed->as_object().at("paces").as_array()) {
            const auto& cells = row.as_array();
            const auto age = std::clamp<std::int64_t>(cells.at(3).to_number<std::int64_t>(), 0, MaxUpdateAge.count());
            result.push_back({ std::string(cells.at(0).as_string()), cells.at(1).to_number<std::int64_t>(),
                std::clamp(cells.at(2).to_number<double>(), MinLevel, 1.0), milliseconds(age) });
        }
    } catch (const std::exception&) { // Malformed, as the empty result says.
        return {};
    }
    return result;
}

} // namespace lhub
