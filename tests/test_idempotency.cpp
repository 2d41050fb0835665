/** @file test_idempotency.cpp Idempotency keys that name their home VM: repeats, dead and restarted homes, old keys. */
#include "zone_harness.h"

#include "idempotency/idempotency_func.h"
#include <catch2/catch.hpp>

using namespace lhub;

static const time_point Start = time_point(seconds(10'000));

TEST_CASE("a key is parsed into its home VM, incarnation and time of issue; other texts are rejected")
{
    const auto home = parseHomeKey(makeKeyPrefix("vm1", 77, Start) + "order-9");
    REQUIRE(home);
    CHECK(home->vm == "vm1");
    CHECK(home->incarnation == 77);
    CHECK(home->issuedAt == seconds(10'000));
    for (const std::string text : { "", "lhub", "lhub.vm1.77.10", "lhub.vm1.x.10.a", "lhub..1.1.a", "7f3b-uuid", "lhub.vm1.77.10." })
        CHECK_FALSE(parseHomeKey(text));
}

TEST_CASE("a key past its lifetime is not claimed, nor one issued in the future")
{
    key_memory memory;
    const auto key = makeKeyPrefix("vm1", 1, Start) + "a";
    const auto home = parseHomeKey(key);
    CHECK(claimAtHome(memory, key, *home, "r1", Start).result == claim_result::First);
    const auto late = Start + memory.prefixLifetime + seconds(2);
    removeExpiredKeys(memory, late);
    CHECK(memory.records.empty());
    CHECK(claimAtHome(memory, key, *home, "r2", late).result == claim_result::Unknown);
    CHECK(claimAtHome(memory, key, *home, "r2", Start - seconds(5)).result == claim_result::Unknown);
}

TEST_CASE("a full key table refuses new keys and keeps those that it has")
{
    key_memory memory;
    memory.maxKeys = 1;
    const auto key = makeKeyPrefix("vm1", 1, Start);
    CHECK(claimAtHome(memory, key + "a", *parseHomeKey(key + "a"), "r1", Start).result == claim_result::First);
    CHECK(claimAtHome(memory, key + "b", *parseHomeKey(key + "b"), "r2", Start).result == claim_result::Unknown);
    CHECK(claimAtHome(memory, key + "a", *parseHomeKey(key + "a"), "r3", Start).result == claim_result::Repeated);
}

static zone_harness makeReadyZone()
{
    auto zone = makeZone(2);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    return zone;
}

static std::string keyOf(const zone_harness& zone, const std::string& vm)
{
    return makeKeyPrefix(vm, zone.vms.at(vm).members.incarnation, zone.now) + "order-1";
}

TEST_CASE("a POST with a home key runs without the store, and a repeat at another VM is not dispatched")
{
    auto zone = makeReadyZone();
    const auto key = keyOf(zone, "vm1");
    const auto first = zone.sendRequest("vm1", "s", "POST", key);
    REQUIRE(zone.dispatched.size() == 1);
    CHECK(zone.claims.empty());
    zone.sendRequest("vm2", "s", "POST", key);
    CHECK(zone.dispatched.size() == 1);
    REQUIRE(zone.answered.size() == 1);
    CHECK(zone.answered[0].second.known == verdict::MayHaveRun);
    zone.endDispatch("vm1", first, dispatch_outcome::Whole);
    zone.sendRequest("vm2", "s", "POST", key);
    CHECK(zone.dispatched.size() == 1);
    REQUIRE(zone.answered.size() == 2);
    CHECK(zone.answered[1].second.known == verdict::Ran);
}

TEST_CASE("a repeat with the same key and the same request id is not dispatched either")
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

TEST_CASE("the claim is released when the request provably did not run, and kept when its answer was lost")
{
    auto zone = makeReadyZone();
    const auto key = keyOf(zone, "vm1");
    const auto first = zone.sendRequest("vm2", "s", "POST", key);
    for (int i = 0; i < 4; ++i)
        zone.endDispatch("vm2", first, dispatch_outcome::ConnectFailed);
    REQUIRE(zone.answered.size() == 1);
    CHECK(zone.answered[0].second.known == verdict::NotRun);
    const auto sent = zone.dispatched.size();
    const auto second = zone.sendRequest("vm1", "s", "POST", key);
    REQUIRE(zone.dispatched.size() == sent + 1);
    zone.endDispatch("vm1", second, dispatch_outcome::TimedOut);
    zone.sendRequest("vm2", "s", "POST", key);
    CHECK(zone.dispatched.size() == sent + 1);
}

TEST_CASE("when the home VM is dead or was restarted, nothing is dispatched and the verdict is may_have_run")
{
    auto zone = makeReadyZone();
    const auto key = keyOf(zone, "vm1");
    zone.dead.insert("vm1");
    zone.sendRequest("vm2", "s", "POST", key);
    zone.runFor(seconds(1));
    REQUIRE(zone.answered.size() == 1);
    CHECK(zone.answered[0].second.known == verdict::MayHaveRun);
    zone.dead.clear();
    zone.vms.at("vm1") = makeEntry("vm1", "a", 2);
    zone.sendRequest("vm2", "s", "POST", key);
    CHECK(zone.dispatched.empty());
    REQUIRE(zone.answered.size() == 2);
    CHECK(zone.answered[1].second.known == verdict::MayHaveRun);
}
