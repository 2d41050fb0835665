/** @file test_request.cpp Verdicts, retries and idempotency key claims of single requests. */
#include "zone_harness.h"

#include "request/request_func.h"
#include <catch2/catch.hpp>

using namespace lhub;

/** A zone that is ready to serve, with vm1 as its only running VM. */
static zone_harness makeReadyZone(int endpoints, std::uint32_t slots = 3)
{
    auto zone = makeZone(endpoints, slots);
    zone.dead.insert("vm2");
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    return zone;
}

TEST_CASE("the verdict of a dispatch is not_run only when nothing was sent or the endpoint refused the request")
{
    CHECK(verdictOf(dispatch_outcome::ConnectFailed) == verdict::NotRun);
    CHECK(verdictOf(dispatch_outcome::Shed) == verdict::NotRun);
    CHECK(verdictOf(dispatch_outcome::NoResponse) == verdict::MayHaveRun);
    CHECK(verdictOf(dispatch_outcome::TimedOut) == verdict::MayHaveRun);
    CHECK(verdictOf(dispatch_outcome::Truncated) == verdict::MayHaveRun);
    CHECK(verdictOf(dispatch_outcome::CallerGone) == verdict::MayHaveRun);
}

TEST_CASE("a request that is not idempotent is not sent again after its response was lost")
{
    auto zone = makeReadyZone(2);
    const auto id = zone.sendRequest("vm1", "s", "POST");
    zone.endDispatch("vm1", id, dispatch_outcome::NoResponse);
    CHECK(zone.dispatched.size() == 1);
    REQUIRE(zone.answered.size() == 1);
    CHECK(zone.answered[0].second.known == verdict::MayHaveRun);
}

TEST_CASE("a request that is not idempotent is sent again after a failed connection")
{
    auto zone = makeReadyZone(2);
    const auto id = zone.sendRequest("vm1", "s", "POST");
    zone.endDispatch("vm1", id, dispatch_outcome::ConnectFailed);
    REQUIRE(zone.dispatched.size() == 2);
    zone.endDispatch("vm1", id, dispatch_outcome::Whole);
    CHECK(zone.answered.empty());
    CHECK(zone.vms.at("vm1").counters.whole == 1);
}

TEST_CASE("an idempotent request is sent again after a lost response, and its verdict never returns to not_run")
{
    auto zone = makeReadyZone(2);
    const auto id = zone.sendRequest("vm1", "s");
    zone.endDispatch("vm1", id, dispatch_outcome::NoResponse);
    REQUIRE(zone.dispatched.size() == 2);
    zone.endDispatch("vm1", id, dispatch_outcome::ConnectFailed);
    zone.endDispatch("vm1", id, dispatch_outcome::ConnectFailed);
    zone.endDispatch("vm1", id, dispatch_outcome::ConnectFailed);
    REQUIRE(zone.answered.size() == 1);
    CHECK(zone.answered[0].second.known == verdict::MayHaveRun);
}

TEST_CASE("a request is not sent again when its body is no longer available or its response has been relayed in part")
{
    auto zone = makeReadyZone(2);
    const auto id = zone.sendRequest("vm1", "s");
    zone.endDispatch("vm1", id, dispatch_outcome::Truncated, false);
    CHECK(zone.dispatched.size() == 1);
}

TEST_CASE("in a full outage retries add at most a tenth to the requests once the initial budget is used up")
{
    auto zone = makeReadyZone(2);
    auto& counters = zone.vms.at("vm1").counters;
    const auto sendFailingRequest = [&] {
        const auto id = zone.sendRequest("vm1", "s");
        while (zone.vms.at("vm1").requests.count(id) > 0 && zone.vms.at("vm1").requests.at(id).phase == request_phase::Dispatching)
            zone.endDispatch("vm1", id, dispatch_outcome::ConnectFailed);
        zone.runFor(milliseconds(20));
    };
    for (int i = 0; i < 100; ++i)
        sendFailingRequest();
    const auto requests = counters.requests;
    const auto retries = counters.retries;
    for (int i = 0; i < 1000; ++i)
        sendFailingRequest();
    CHECK((counters.retries - retries) * 10 <= (counters.requests - requests) + 10);
}

TEST_CASE("a keyed request whose method is not idempotent is dispatched only after its idempotency key was claimed")
{
    auto zone = makeReadyZone(1);
    const auto id = zone.sendRequest("vm1", "s", "POST", "k1");
    CHECK(zone.dispatched.empty());
    REQUIRE(zone.claims.size() == 1);
    zone.feed("vm1", claim_answered { id, claim_result::First, 7, verdict::NotRun });
    CHECK(zone.dispatched.size() == 1);
}

TEST_CASE("a request whose idempotency key was used before or cannot be claimed is not dispatched, and its verdict says that it may have run")
{
    auto zone = makeReadyZone(1);
    const auto repeated = zone.sendRequest("vm1", "s", "POST", "k1");
    zone.feed("vm1", claim_answered { repeated, claim_result::Repeated, 0, verdict::MayHaveRun });
    const auto unknown = zone.sendRequest("vm1", "s", "POST", "k2");
    zone.feed("vm1", claim_answered { unknown, claim_result::Unknown, 0, verdict::MayHaveRun });
    CHECK(zone.dispatched.empty());
    REQUIRE(zone.answered.size() == 2);
    CHECK(zone.answered[0].second.known == verdict::MayHaveRun);
    CHECK(zone.answered[1].second.known == verdict::MayHaveRun);
}

TEST_CASE("the claim on an idempotency key is released only when the request certainly did not run")
{
    auto zone = makeReadyZone(1);
    const auto first = zone.sendRequest("vm1", "s", "POST", "k1");
    zone.feed("vm1", claim_answered { first, claim_result::First, 7, verdict::NotRun });
    for (int i = 0; i < 4; ++i)
        zone.endDispatch("vm1", first, dispatch_outcome::ConnectFailed);
    REQUIRE(zone.unclaims.size() == 1);
    CHECK(zone.unclaims[0].second.version == 7);
    const auto second = zone.sendRequest("vm1", "s", "POST", "k2");
    zone.feed("vm1", claim_answered { second, claim_result::First, 8, verdict::NotRun });
    zone.endDispatch("vm1", second, dispatch_outcome::TimedOut);
    CHECK(zone.unclaims.size() == 1);
}

TEST_CASE("late, repeated and unknown answers to dispatches and claims are ignored")
{
    auto zone = makeReadyZone(1);
    const auto id = zone.sendRequest("vm1", "s");
    zone.endDispatch("vm1", id, dispatch_outcome::Whole);
    zone.endDispatch("vm1", id, dispatch_outcome::Whole);
    zone.endDispatch("vm1", 12345, dispatch_outcome::NoResponse);
    zone.feed("vm1", claim_answered { id, claim_result::First, 3, verdict::NotRun });
    CHECK(zone.vms.at("vm1").counters.whole == 1);
    CHECK(zone.dispatched.size() == 1);
    CHECK(zone.vms.at("vm1").pools.at("s").endpoints.at("a-1").inflight == 0);
}

TEST_CASE("a queued request is not dispatched after its caller closed the connection")
{
    auto zone = makeReadyZone(1, 1);
    const auto first = zone.sendRequest("vm1", "s");
    const auto second = zone.sendRequest("vm1", "s");
    zone.feed("vm1", caller_left { second });
    zone.endDispatch("vm1", first, dispatch_outcome::Whole);
    CHECK(zone.dispatched.size() == 1);
}
