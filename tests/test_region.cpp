/** @file test_region.cpp Credits, shifts and spill-over of requests between zones and regions. */
#include "zone_harness.h"

#include "pool/pool_func.h"
#include <catch2/catch.hpp>

using namespace lhub;

/** Zone a in region r and zone b in region q, with one VM each, six slots in a and @p slotsInB in b, all warm. */
static zone_harness makeRegions(std::uint32_t slotsInB)
{
    zone_harness zone;
    zone.add("vm1", "a");
    zone.add("vm2", "b");
    zone.configure("place/a", { { "zone", "a" }, { "region", "r" } });
    zone.configure("place/b", { { "zone", "b" }, { "region", "q" } });
    zone.configure("service/s", { { "name", "s" }, { "deadline_ms", 2000 } });
    zone.addEndpoints("a", 1, 6);
    zone.addEndpoints("b", 1, slotsInB);
    zone.registerVms();
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    return zone;
}

static void startShift(zone_harness& zone, std::uint32_t permille, std::uint32_t cap)
{
    zone.configure("shift/m",
        { { "name", "m" }, { "service", "s" }, { "from_region", "r" }, { "to_region", "q" }, { "permille", permille },
            { "cap_per_second", cap }, { "status", "running" }, { "zones", json::array { "a" } } });
    zone.runFor(seconds(7));
}

/** Sends a request to zone a every @p gap for @p time and ends it whole. @return the number of hops. */
static std::size_t sendThrough(zone_harness& zone, milliseconds time, milliseconds gap, bool confirmed = true)
{
    std::size_t hops = 0;
    for (milliseconds passed { 0 }; passed < time; passed += gap) {
        const auto before = zone.dispatched.size();
        const auto id = zone.sendRequest("vm1", "s");
        for (auto i = before; i < zone.dispatched.size(); ++i)
            hops += zone.dispatched[i].second.hop ? 1 : 0;
        zone.runFor(gap, confirmed);
        zone.endDispatch("vm1", id, dispatch_outcome::Whole);
    }
    return hops;
}

TEST_CASE("a shift moves requests to the other region up to its cap")
{
    auto zone = makeRegions(10);
    startShift(zone, 1000, 10);
    const auto hops = sendThrough(zone, seconds(5), milliseconds(20));
    CHECK(hops <= 50);
    CHECK(hops >= 40);
}

TEST_CASE("without free slots in the other region nothing moves and nothing is refused")
{
    auto zone = makeRegions(1);
    startShift(zone, 1000, 50);
    CHECK(sendThrough(zone, seconds(3), milliseconds(20)) == 0);
    CHECK(zone.answered.empty());
}

TEST_CASE("a shift stops while the store does not confirm the configuration, and goes on afterwards")
{
    auto zone = makeRegions(10);
    startShift(zone, 1000, 10);
    zone.runFor(seconds(6), false);
    CHECK(sendThrough(zone, seconds(3), milliseconds(20), false) == 0);
    CHECK(sendThrough(zone, seconds(3), milliseconds(20)) > 20);
    CHECK(zone.answered.empty());
}

TEST_CASE("disconnected regions: nothing is sent across once the credit has expired, and both serve their own requests")
{
    auto zone = makeRegions(10);
    startShift(zone, 1000, 100);
    sendThrough(zone, seconds(1), milliseconds(20));
    zone.disconnected.insert({ "vm1", "vm2" });
    zone.runFor(seconds(2));
    CHECK(sendThrough(zone, seconds(2), milliseconds(20)) == 0);
    const auto id = zone.sendRequest("vm2", "s");
    CHECK(zone.vms.at("vm2").requests.at(id).phase == request_phase::Dispatching);
    CHECK(zone.answered.empty());
}

TEST_CASE("a hop that is shed is served in its own zone, takes no retry budget and voids the credit")
{
    auto zone = makeRegions(10);
    startShift(zone, 1000, 1000);
    zone.sendRequest("vm1", "s");
    zone.runFor(milliseconds(600));
    zone.vms.at("vm1").retries.hundredthsLeft = 0;
    const auto before = zone.dispatched.size();
    const auto id = zone.sendRequest("vm1", "s");
    REQUIRE(zone.dispatched.size() == before + 1);
    REQUIRE(zone.dispatched.back().second.hop);
    zone.endDispatch("vm1", id, dispatch_outcome::Shed);
    REQUIRE(zone.dispatched.size() == before + 2);
    CHECK_FALSE(zone.dispatched.back().second.hop);
    zone.sendRequest("vm1", "s");
    CHECK_FALSE(zone.dispatched.back().second.hop);
    CHECK(zone.answered.empty());
}

TEST_CASE("an overloaded zone sends what it cannot serve to another region, within the credit")
{
    auto zone = makeRegions(10);
    for (int i = 0; i < 40; ++i) {
        zone.sendRequest("vm1", "s");
        zone.runFor(milliseconds(20));
    }
    std::size_t hops = 0;
    for (const auto& [vm, sent] : zone.dispatched)
        hops += sent.hop ? 1 : 0;
    CHECK(hops > 0);
    CHECK(hops <= 9);
    CHECK(zone.vms.at("vm1").pools.at("s").localInflight == 6);
}

TEST_CASE("a drained zone grants no slot and sends every request to another zone")
{
    auto zone = makeRegions(10);
    zone.configure("drain/d", { { "name", "d" }, { "kind", "zone" }, { "target", "a" } });
    zone.runFor(seconds(1));
    sendThrough(zone, seconds(2), milliseconds(50));
    zone.runFor(seconds(1));
    CHECK(sendThrough(zone, seconds(2), milliseconds(50)) == 40);
    CHECK(zone.vms.at("vm1").pools.at("s").localInflight == 0);
}

TEST_CASE("a new owner lends nothing until the credits of the old one have expired")
{
    auto zone = makeRegions(10);
    auto& pool = zone.vms.at("vm2").pools.at("s");
    pool.lendNotBefore = zone.now + pool.limits.creditLifetime;
    CHECK(lendCredit(pool, "a", 3, zone.now) == 0);
    CHECK(lendCredit(pool, "a", 3, zone.now + pool.limits.creditLifetime) == 3);
}

/**
 * Number of moves in 10 s of steady state, by a zone that gets all traffic of its region. The shift's cap is 40 a
 * second, shared by two zones.
 */
static std::uint64_t movesOfBusyZone(bool otherZoneReachable)
{
    zone_harness zone;
    for (const std::string name : { "a", "b", "c" })
        zone.add("vm-" + name, name);
    zone.configure("place/a", { { "zone", "a" }, { "region", "r" } });
    zone.configure("place/b", { { "zone", "b" }, { "region", "r" } });
    zone.configure("place/c", { { "zone", "c" }, { "region", "q" } });
    zone.configure("service/s", { { "name", "s" }, { "deadline_ms", 2000 } });
    for (const std::string name : { "a", "b", "c" })
        zone.addEndpoints(name, 1, 40);
    zone.registerVms();
    zone.configure("shift/m",
        { { "name", "m" }, { "service", "s" }, { "from_region", "r" }, { "to_region", "q" }, { "permille", 1000 },
            { "cap_per_second", 40 }, { "status", "running" }, { "zones", json::array { "a", "b" } } });
    if (!otherZoneReachable)
        zone.disconnected.insert({ "vm-a", "vm-b" });
    zone.runFor(seconds(10));
    zone.finishWarmUp();
    const auto& moved = zone.vms.at("vm-a").counters.moved;
    const auto sendFor = [&](seconds time) {
        const auto before = moved;
        for (milliseconds passed { 0 }; passed < time; passed += milliseconds(10)) {
            const auto id = zone.sendRequest("vm-a", "s");
            if (passed.count() % 20 == 0)
                zone.runFor(milliseconds(20));
            zone.endDispatch("vm-a", id, dispatch_outcome::Whole);
        }
        return moved - before;
    };
    sendFor(seconds(5));
    return sendFor(seconds(10));
}

TEST_CASE("a zone that gets all traffic of its region uses most of the cap by loans, and never more")
{
    const auto moves = movesOfBusyZone(true);
    CHECK(moves <= 400);
    CHECK(moves >= 360);
}

TEST_CASE("a zone that cannot reach the other one keeps to its own share of the cap")
{
    const auto moves = movesOfBusyZone(false);
    CHECK(moves <= 200);
    CHECK(moves >= 180);
}
