/** @file test_once.cpp Idempotency keys with a home: repeats, other VMs, deaths, old keys, no store. */
#include "zone_wiring.h"

#include "once/once_func.h"
#include <catch2/catch.hpp>

using namespace lhub;

static const time_point Start = time_point(seconds(10'000));

TEST_CASE("a key names its home; other texts are no such keys")
{
    const auto home = parseHomeKey(makeKeyPrefix("vm1", 77, Start) + "order-9");
    REQUIRE(home);
    CHECK(home->vm == "vm1");
    CHECK(home->incarnation == 77);
    CHECK(home->minted == seconds(10'000));
    for (const std::string text : { "", "lhub", "lhub.vm1.77.10", "lhub.vm1.x.10.a", "lhub..1.1.a", "7f3b-uuid", "lhub.vm1.77.10." })
        CHECK_FALSE(parseHomeKey(text));
}

TEST_CASE("a key that is too old to be remembered is not claimed, nor one from the future")
{
    key_memory memory;
    const auto key = makeKeyPrefix("vm1", 1, Start) + "a";
    const auto home = parseHomeKey(key);
    CHECK(claimAtHome(memory, key, *home, "r1", Start).result == claim_result::First);
    const auto late = Start + memory.lifetime + seconds(2);
    forgetOldKeys(memory, late);
    CHECK(memory.used.empty());
    CHECK(claimAtHome(memory, key, *home, "r2", late).result == claim_result::Unknown);
    CHECK(claimAtHome(memory, key, *home, "r2", Start - seconds(5)).result == claim_result::Unknown);
}

TEST_CASE("a full memory refuses new keys and forgets none")
{
    key_memory memory;
    memory.mostKeys = 1;
    const auto key = makeKeyPrefix("vm1", 1, Start);
    CHECK(claimAtHome(memory, key + "a", *parseHomeKey(key + "a"), "r1", Start).result == claim_result::First);
    CHECK(claimAtHome(memory, key + "b", *parseHomeKey(key + "b"), "r2", Start).result == claim_result::Unknown);
    CHECK(claimAtHome(memory, key + "a", *parseHomeKey(key + "a"), "r3", Start).result == claim_result::Repeated);
}

static zone_wiring makeReadyZone()
{
    auto zone = makeZone(2);
    zone.run(seconds(5));
    zone.warm();
    return zone;
}

static std::string keyOf(const zone_wiring& zone, const std::string& vm)
{
    return makeKeyPrefix(vm, zone.vms.at(vm).members.incarnation, zone.now) + "order-1";
}

TEST_CASE("an order with a home key runs without the store, and its repeat at another VM does not run")
{
    auto zone = makeReadyZone();
    const auto key = keyOf(zone, "vm1");
    const auto first = zone.request("vm1", "s", "POST", key);
    REQUIRE(zone.dispatched.size() == 1);
    CHECK(zone.claims.empty());
    zone.request("vm2", "s", "POST", key);
    CHECK(zone.dispatched.size() == 1);
    REQUIRE(zone.answered.size() == 1);
    CHECK(zone.answered[0].second.known == verdict::MayHaveRun);
    zone.end("vm1", first, dispatch_outcome::Whole);
    zone.request("vm2", "s", "POST", key);
    CHECK(zone.dispatched.size() == 1);
    REQUIRE(zone.answered.size() == 2);
    CHECK(zone.answered[1].second.known == verdict::Ran);
}

TEST_CASE("a caller that repeats its own request id with the key does not run twice either")
{
    auto zone = makeReadyZone();
    for (int i = 0; i < 2; ++i) {
        request_arrived event;
        event.request.id = 500 + i;
        event.request.requestId = "the-same";
        event.request.service = "s";
        event.request.method = "POST";
        event.request.key = keyOf(zone, "vm1");
        zone.feed("vm1", std::move(event));
    }
    CHECK(zone.dispatched.size() == 1);
}

TEST_CASE("an order that provably did not run gives its key back, one whose answer was lost does not")
{
    auto zone = makeReadyZone();
    const auto key = keyOf(zone, "vm1");
    const auto first = zone.request("vm2", "s", "POST", key);
    for (int i = 0; i < 4; ++i)
        zone.end("vm2", first, dispatch_outcome::ConnectFailed);
    REQUIRE(zone.answered.size() == 1);
    CHECK(zone.answered[0].second.known == verdict::NotRun);
    const auto sent = zone.dispatched.size();
    const auto second = zone.request("vm1", "s", "POST", key);
    REQUIRE(zone.dispatched.size() == sent + 1);
    zone.end("vm1", second, dispatch_outcome::TimedOut);
    zone.request("vm2", "s", "POST", key);
    CHECK(zone.dispatched.size() == sent + 1);
}

TEST_CASE("when the home is dead or was restarted nothing is sent and the verdict is may_have_run")
{
    auto zone = makeReadyZone();
    const auto key = keyOf(zone, "vm1");
    zone.dead.insert("vm1");
    zone.request("vm2", "s", "POST", key);
    zone.run(seconds(1));
    REQUIRE(zone.answered.size() == 1);
    CHECK(zone.answered[0].second.known == verdict::MayHaveRun);
    zone.dead.clear();
    zone.vms.at("vm1") = makeEntry("vm1", "a", 2);
    zone.request("vm2", "s", "POST", key);
    CHECK(zone.dispatched.empty());
    REQUIRE(zone.answered.size() == 2);
    CHECK(zone.answered[1].second.known == verdict::MayHaveRun);
}
