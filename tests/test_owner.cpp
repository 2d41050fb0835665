/** @file test_owner.cpp Ownership of pools when VMs start, die, pause or stop and when messages are lost. */
#include "zone_harness.h"

#include "member/member_func.h"
#include "pool/pool_func.h"
#include <catch2/catch.hpp>

using namespace lhub;

/** Requests that are dispatched and have not ended, on all VMs. */
static std::size_t inFlight(const zone_harness& zone)
{
    std::size_t count = 0;
    for (const auto& [name, vm] : zone.vms) {
        for (const auto& [id, request] : vm.requests)
            count += request.phase == request_phase::Dispatching ? 1 : 0;
    }
    return count;
}

static std::string otherOf(const std::string& vm) { return vm == "vm1" ? "vm2" : "vm1"; }

TEST_CASE("a starting zone has exactly one owner for each pool")
{
    auto zone = makeZone(2);
    zone.runFor(seconds(4));
    CHECK(zone.owners("s").size() == 1);
}

TEST_CASE("both VMs get slots from the one owner, and together no more than there are")
{
    auto zone = makeZone(2, 3);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    for (int i = 0; i < 6; ++i) {
        zone.sendRequest("vm1", "s");
        zone.sendRequest("vm2", "s");
    }
    CHECK(inFlight(zone) == 6);
}

TEST_CASE("when the owner dies, the other VM takes over within 600 ms and counts its own requests in flight")
{
    auto zone = makeZone(1, 3);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    const auto owner = zone.owners("s").at(0);
    const auto other = otherOf(owner);
    for (int i = 0; i < 3; ++i)
        zone.sendRequest(other, "s");
    REQUIRE(inFlight(zone) == 3);
    zone.dead.insert(owner);
    zone.probesSucceed = false;
    zone.runFor(milliseconds(600));
    REQUIRE(zone.owners("s") == std::vector<std::string> { other });
    zone.sendRequest(other, "s");
    CHECK(inFlight(zone) == 3);
}

TEST_CASE("slots that a dead owner granted to its own requests count as taken until those must have ended")
{
    auto zone = makeZone(1, 2);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    const auto owner = zone.owners("s").at(0);
    const auto other = otherOf(owner);
    zone.sendRequest(owner, "s");
    REQUIRE(zone.dispatched.size() == 1);
    zone.dead.insert(owner);
    zone.probesSucceed = false;
    zone.runFor(milliseconds(600));
    zone.sendRequest(other, "s");
    CHECK(zone.dispatched.size() == 1);
    zone.runFor(seconds(4));
    zone.sendRequest(other, "s");
    CHECK(zone.dispatched.size() == 2);
}

TEST_CASE("an owner that resumes after a pause no longer grants slots, and the pool has one owner again")
{
    auto zone = makeZone(1, 3);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    const auto owner = zone.owners("s").at(0);
    const auto other = otherOf(owner);
    zone.paused.insert(owner);
    zone.runFor(milliseconds(1200));
    CHECK(zone.vms.at(other).pools.at("s").role != pool_role::Owner);
    zone.runFor(seconds(2));
    CHECK(zone.vms.at(other).pools.at("s").role == pool_role::Owner);
    zone.paused.clear();
    const auto before = zone.dispatched.size();
    zone.feed(owner, acquire_arrived { "s", { RemoteCallBit | 999, "late", other, zone.now + seconds(1), 1, {}, {}, false } });
    CHECK(zone.vms.at(owner).pools.at("s").role != pool_role::Owner);
    CHECK(zone.dispatched.size() == before);
    REQUIRE(zone.directAnswers.size() == 1);
    CHECK(zone.directAnswers[0].result == acquire_result::NotOwner);
    zone.runFor(seconds(6));
    CHECK(zone.owners("s").size() == 1);
}

TEST_CASE("a request that waits for a frozen owner is dispatched by the next owner within its deadline")
{
    auto zone = makeZone(1, 3);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    const auto owner = zone.owners("s").at(0);
    const auto other = otherOf(owner);
    zone.frozen.insert(owner);
    const auto id = zone.sendRequest(other, "s");
    zone.runFor(milliseconds(1900));
    CHECK(zone.vms.at(other).requests.at(id).phase == request_phase::Dispatching);
    CHECK(zone.answered.empty());
}

TEST_CASE("a disconnected owner stops admitting before its peer may take over")
{
    auto zone = makeZone(1, 3);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    const auto owner = zone.owners("s").at(0);
    zone.disconnected.insert({ "vm1", "vm2" });
    zone.runFor(milliseconds(1100));
    CHECK_FALSE(mayAdmit(zone.vms.at(owner).members));
    const auto& limits = zone.vms.at(owner).members.limits;
    CHECK(limits.leaseTime < limits.deadAfter);
}

TEST_CASE("a stopping owner hands its pool over with the reservations, and stops once its requests have ended")
{
    auto zone = makeZone(1, 3);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    const auto owner = zone.owners("s").at(0);
    const auto other = otherOf(owner);
    const auto id = zone.sendRequest(owner, "s");
    zone.feed(owner, stop_asked {});
    zone.runFor(seconds(1));
    REQUIRE(zone.owners("s") == std::vector<std::string> { other });
    CHECK(zone.vms.at(other).pools.at("s").endpoints.at("a-1").inflight == 1);
    zone.runFor(seconds(10));
    CHECK_FALSE(zone.vms.at(owner).stopped);
    zone.endDispatch(owner, id, dispatch_outcome::Whole);
    zone.runFor(seconds(1));
    CHECK(zone.vms.at(owner).stopped);
    CHECK(zone.vms.at(other).pools.at("s").endpoints.at("a-1").inflight == 0);
    CHECK(zone.answered.empty());
}

TEST_CASE("a hand-over whose answer is lost ends with one owner and no reservation counted twice")
{
    auto zone = makeZone(1, 3);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    const auto owner = zone.owners("s").at(0);
    const auto other = otherOf(owner);
    zone.sendRequest(other, "s");
    zone.loseReplies.insert(owner);
    zone.feed(owner, stop_asked {});
    zone.runFor(milliseconds(800));
    zone.loseReplies.clear();
    zone.runFor(milliseconds(700));
    REQUIRE(zone.owners("s") == std::vector<std::string> { other });
    CHECK(zone.vms.at(other).pools.at("s").endpoints.at("a-1").inflight == 1);
}

TEST_CASE("an acquire whose answer is lost takes a slot only until the reservation expires")
{
    auto zone = makeZone(1, 1);
    zone.runFor(seconds(5));
    const auto owner = zone.owners("s").at(0);
    zone.loseReplies.insert(owner);
    zone.sendRequest(otherOf(owner), "s");
    zone.loseReplies.clear();
    CHECK(zone.vms.at(owner).pools.at("s").endpoints.at("a-1").inflight == 1);
    zone.runFor(seconds(4));
    CHECK(zone.vms.at(owner).pools.at("s").endpoints.at("a-1").inflight == 0);
}

TEST_CASE("of two owners of one pool only one stays, with the higher epoch")
{
    auto zone = makeZone(1, 3);
    zone.runFor(seconds(5));
    zone.finishWarmUp();
    const auto owner = zone.owners("s").at(0);
    const auto other = otherOf(owner);
    auto& secondOwner = zone.vms.at(other).pools.at("s");
    secondOwner.role = pool_role::Owner;
    secondOwner.epoch = zone.vms.at(owner).pools.at("s").epoch + 5;
    zone.runFor(seconds(2));
    CHECK(zone.owners("s").size() == 1);
    CHECK(zone.vms.at(zone.owners("s").at(0)).pools.at("s").epoch > secondOwner.epoch - 1);
}
