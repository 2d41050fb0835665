/** @file test_placement.cpp Placement: shares of regions, home endpoints of objects, and simulated load on whole systems. */
#include "bench/load_simulation.h"
#include "placement/placement_func.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace lhub;

static constexpr double ScarceFactor = 0.9;

static std::map<std::string_view, double> shareMap(std::string_view region, const std::map<std::string_view, double>& slots)
{
    std::map<std::string_view, double> result;
    for (const auto& [name, share] : sharesOf(region, slots, ScarceFactor))
        result[name] = share;
    return result;
}

TEST_CASE("a region keeps the objects that its slots can carry and gives the rest to regions with a surplus")
{
    const std::map<std::string_view, double> slots { { "big", 36 }, { "small", 6 }, { "mid", 30 } };
    const auto small = shareMap("small", slots); // A third of the callers, a twelfth of the slots.
    const double local = ScarceFactor * 6 / 24; // A part of its slots, divided by a third of all slots.
    CHECK(small.at("small") == Approx(local));
    CHECK(small.at("big") == Approx((1 - local) * 12 / 18));
    CHECK(small.at("mid") == Approx((1 - local) * 6 / 18));
    CHECK(shareMap("big", slots).at("big") == Approx(1));
}

TEST_CASE("a region with few slots keeps some of them free only where other regions are near, measured by the objective")
{
    place_query query;
    query.objectiveMs = 400;
    query.times = { 100, 300 };
    CHECK(scarceFactorFor(query, 70) < 1);
    CHECK(scarceFactorFor(query, 110) > 1);
}

TEST_CASE("a small change of a region's slots moves a small part of its objects")
{
    double previous = 1;
    for (double own = 60; own >= 0; own -= 1) {
        const std::map<std::string_view, double> slots { { "a", own }, { "b", 60 }, { "c", 50 } };
        const double local = shareMap("a", slots).at("a");
        CHECK(previous - local < 0.07);
        previous = local;
    }
    CHECK(previous == 0);
}

TEST_CASE("without a surplus anywhere a region keeps its objects; objects of a region without endpoints go to the others")
{
    CHECK(shareMap("a", { { "a", 10 }, { "b", 10 } }).at("a") == Approx(1));
    const auto empty = shareMap("c", { { "a", 20 }, { "b", 40 } }); // Each of three regions needs 20 of 60 slots: only b has a surplus.
    CHECK(empty.at("a") == Approx(0));
    CHECK(empty.at("b") == Approx(1));
    const auto spread = shareMap("c", { { "a", 30 }, { "b", 30 } });
    CHECK(spread.at("a") == Approx(0.5));
}

/** Twelve endpoints in each of the regions a, b and c. */
static std::vector<place_candidate> makeCandidates()
{
    static const std::vector<std::string> Ids = [] {
        std::vector<std::string> ids;
        for (const char region : { 'a', 'b', 'c' }) {
            for (int i = 0; i < 12; ++i)
                ids.push_back(region + std::to_string(i));
        }
        return ids;
    }();
    std::vector<place_candidate> result;
    result.reserve(Ids.size());
    for (const auto& id : Ids)
        result.push_back({ id, std::string_view(id).substr(0, 1), 3, 0, 1, true, false, id[0] == 'a' ? 0.0 : 110.0 });
    return result;
}

static place_query makeQuery(std::uint64_t key)
{
    place_query query;
    query.key = key;
    query.region = "a";
    query.objectiveLeftMs = 400;
    return query;
}

TEST_CASE("requests for an object leave its home endpoint only when it is unusable or another region is expected to respond sooner")
{
    for (std::uint64_t key = 1; key < 300; ++key) {
        auto candidates = makeCandidates();
        const auto home = placeRequest(makeQuery(key), candidates);
        REQUIRE(home);
        CHECK(candidates[home->index].region == "a");
        CHECK(home->cached);
        candidates[home->index].load = 10; // This queue takes less time than uncached processing in another region.
        CHECK(placeRequest(makeQuery(key), candidates)->index == home->index);
        candidates[home->index].load = 30;
        const auto moved = placeRequest(makeQuery(key), candidates);
        CHECK(candidates[moved->index].region != "a");
        CHECK_FALSE(moved->cached);
        candidates[home->index].usable = false;
        const auto next = placeRequest(makeQuery(key), candidates);
        CHECK(next->index != home->index);
        CHECK(candidates[next->index].region == "a");
    }
}

TEST_CASE("the loss of an endpoint moves only the objects that it served")
{
    const auto all = makeCandidates();
    auto fewer = all;
    fewer.erase(fewer.begin() + 2);
    unsigned moved = 0;
    for (std::uint64_t key = 1; key < 600; ++key) {
        const auto before = all[placeRequest(makeQuery(key), all)->index].id;
        const auto after = fewer[placeRequest(makeQuery(key), fewer)->index].id;
        moved += before == "a2" ? 1 : 0;
        if (before != "a2")
            CHECK(before == after);
    }
    CHECK(moved > 0);
}

TEST_CASE("load moves a request to another region only when mayMoveForLoad is set")
{
    auto candidates = makeCandidates();
    for (std::size_t i = 0; i < 12; ++i)
        candidates[i].load = 30;
    auto query = makeQuery(7);
    const auto moved = placeRequest(query, candidates);
    CHECK(candidates[moved->index].region != "a");
    CHECK(moved->movedByLoad);
    query.mayMoveForLoad = false;
    CHECK(candidates[placeRequest(query, candidates)->index].region == "a");
}

TEST_CASE("placement returns nothing when no endpoint is usable")
{
    auto candidates = makeCandidates();
    for (auto& candidate : candidates)
        candidate.usable = false;
    CHECK_FALSE(placeRequest(makeQuery(1), candidates));
    CHECK_FALSE(placeRequest(makeQuery(1), {}));
}

/** Three regions of different sizes. Half of the slots would be enough if every object were cached where it is requested. */
static simulation_settings threeRegions()
{
    simulation_settings settings;
    settings.zones = { { "a1", "a", 2, 6, 60, 62 }, { "a2", "a", 1, 6, 60, 62 }, { "b1", "b", 2, 2, 60, 62 }, { "b2", "b", 2, 2, 60, 62 },
        { "c1", "c", 2, 4, 60, 62 }, { "c2", "c", 2, 4, 60, 62 } };
    return settings;
}

static double onTimeRatio(const simulation_result& result) { return static_cast<double>(result.onTime) / result.asked; }

TEST_CASE("simulated load: at normal load more than twice as many callers are served on time as by simple policies")
{
    auto settings = threeRegions();
    const auto ours = simulateLoad(settings);
    settings.policy = simulation_policy::LeastInFlight;
    const auto least = simulateLoad(settings);
    settings.policy = simulation_policy::Random;
    const auto random = simulateLoad(settings);
    CAPTURE(ours.onTime, ours.late, ours.refused, least.onTime, random.onTime, ours.asked);
    CHECK(ours.onTime > 2 * least.onTime);
    CHECK(ours.onTime > 2 * random.onTime);
    CHECK(ours.failed == 0);
}

TEST_CASE("simulated load: at 1.5 times the normal load more callers are served on time, and more in all, than with the fewest requests in flight")
{
    auto settings = threeRegions();
    settings.load = 1.5;
    const auto ours = simulateLoad(settings);
    settings.policy = simulation_policy::LeastInFlight;
    const auto least = simulateLoad(settings);
    CAPTURE(ours.onTime, ours.late, ours.refused, ours.failed, least.onTime, least.late, least.refused, ours.asked);
    CHECK(ours.onTime > 2 * least.onTime);
    CHECK(ours.onTime + ours.late > least.onTime + least.late);
}

/** Loads that cannot be served on time, as on the users' heaviest days: a steady overload, a burst, and the loss of endpoints
 *  during a burst. */
static std::vector<simulation_settings> overloads()
{
    auto steady = threeRegions();
    steady.load = 1.5;
    auto burst = threeRegions();
    burst.faults = { { seconds(8), seconds(13), 1, 0, 1, false, 1.7 } };
    auto gone = threeRegions();
    gone.faults = { { seconds(8), seconds(14), 1, 0, 3, true, 1.4 } };
    return { steady, burst, gone };
}

TEST_CASE("simulated load: under overload short queues serve more callers on time than queues up to the deadline, and refuse at most 5 % of the requests more")
{
    for (auto settings : overloads()) {
        const auto bounded = simulateLoad(settings);
        settings.admission.maxWaitRatio = 1000; // No limit on the wait.
        const auto unbounded = simulateLoad(settings);
        CAPTURE(bounded.onTime, bounded.late, bounded.refused, unbounded.onTime, unbounded.late, unbounded.refused, bounded.asked);
        CHECK(onTimeRatio(bounded) > 1.1 * onTimeRatio(unbounded));
        CHECK(bounded.refused < unbounded.refused + bounded.asked / 20);
    }
}

TEST_CASE("simulated load: requests that are not repeatable never run twice, whatever endpoints refuse")
{
    auto settings = threeRegions();
    settings.repeatable = false;
    settings.load = 1.5;
    settings.faults = { { seconds(3), seconds(15), 6, 0.5, 3 } };
    const auto result = simulateLoad(settings);
    CHECK(result.ranTwice == 0);
    CHECK(result.asked > 1000);
}

TEST_CASE("simulated load: slow and refusing endpoints reduce the responses on time by at most twice the requests that they would have served")
{
    auto settings = threeRegions();
    const auto normal = simulateLoad(settings);
    const double affected = 0.5 / 6; // Every sixth endpoint, for half of the time.
    settings.faults = { { seconds(5), seconds(15), 6, 0, 6 } };
    const auto slow = simulateLoad(settings);
    settings.faults = { { seconds(5), seconds(15), 1, 0.5, 6 } };
    const auto refusing = simulateLoad(settings);
    CAPTURE(onTimeRatio(normal), onTimeRatio(slow), onTimeRatio(refusing));
    CHECK(onTimeRatio(slow) >= onTimeRatio(normal) - 2 * affected);
    CHECK(onTimeRatio(refusing) >= onTimeRatio(normal) - 2 * affected);
}

TEST_CASE("load play: callers before a region with few endpoints are on time as often as all callers, through waves of their requests")
{
    static constexpr std::uint32_t Seeds = 6;
    static constexpr double Tolerance = 0.005;
    const auto rate = GENERATE(26.0, 30.0);
    unsigned onTime = 0;
    unsigned asked = 0;
    double scarceOnTime = 0;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        simulation_settings settings;
        settings.zones = { { "a", "A", 4, 2, rate, 26, 0.55, 0.1 }, { "b", "B", 4, 6, rate, 26, 0.55, 0.43 }, { "c", "C", 4, 8, rate, 26, 0.55, 0.77 } };
        settings.slots = 4;
        settings.cachedServiceMs = 264;
        settings.uncachedServiceMs = 880;
        settings.objective = milliseconds(600);
        settings.callerTimeout = milliseconds(2500);
        settings.duration = seconds(40);
        settings.seed = seed;
        const auto result = simulateLoad(settings);
        onTime += result.onTime;
        asked += result.asked;
        scarceOnTime += result.onTimeByZone.at(0) / Seeds;
    }
    CHECK(scarceOnTime >= static_cast<double>(onTime) / asked - Tolerance);
}
