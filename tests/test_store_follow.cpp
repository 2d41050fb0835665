/** @file test_store_follow.cpp Which entry VMs of a region watch the store, and which of them the other VMs follow. */
#include "gossip/gossip_func.h"
#include "store_follow/store_follow_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace lhub;

static const time_point Now { seconds(100) };

/**
 * The view of VM @p self of a region with @p count VMs; another region has five more.
 * @param cutOff VMs that cannot reach the store. @param dead VMs without a heartbeat.
 */
static member_table viewOf(unsigned self, unsigned count, const std::set<unsigned>& cutOff = {}, const std::set<unsigned>& dead = {})
{
    member_table table;
    table.self = "vm-" + std::to_string(self);
    table.regionOfZone = { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };
    std::vector<member_record> others;
    for (unsigned i = 0; i < count + 5; ++i) {
        const auto vm = "vm-" + std::to_string(i);
        const std::string zone = i >= count ? "b1" : (i % 2 ? "a1" : "a2");
        const member_record record { vm, vm, zone, 1, 1, true, cutOff.count(i) == 0, i % 5 == 0 ? 2000U : 100U, milliseconds(0), {} };
        if (i == self)
            table.members[vm] = { record, {} };
        else if (dead.count(i) == 0)
            others.push_back(record);
    }
    mergeMemberRecords(table, others, "some-vm", Now);
    return table;
}

static follow_plan planOf(unsigned self, unsigned count, const std::set<unsigned>& cutOff = {}, const std::set<unsigned>& dead = {})
{
    return planFollow(viewOf(self, count, cutOff, dead), gossip_settings {}, follow_settings {}, Now);
}

TEST_CASE("follow: in a region of up to three VMs all watch the store")
{
    for (unsigned count = 1; count <= 3; ++count) {
        for (unsigned self = 0; self < count; ++self)
            CHECK(planOf(self, count).watchesStore);
    }
}

TEST_CASE("follow: in a larger region all VMs agree on three watchers, and each other VM follows two of them")
{
    rc::prop("follow roles", [] {
        const auto count = *rc::gen::inRange(4U, 120U);
        std::set<std::string> watchers;
        for (unsigned self = 0; self < count; ++self) {
            if (planOf(self, count).watchesStore)
                watchers.insert("vm-" + std::to_string(self));
        }
        RC_ASSERT(watchers.size() == 3);
        for (unsigned self = 0; self < count; ++self) {
            const auto plan = planOf(self, count);
            if (plan.watchesStore)
                continue;
            RC_ASSERT(plan.sources.size() == 2);
            for (const auto& ip : plan.sources)
                RC_ASSERT(watchers.count(ip) == 1);
            RC_ASSERT(plan.sources[0] != plan.sources[1]);
        }
    });
}

TEST_CASE("follow: watchers that are dead or cannot reach the store are replaced; during an outage three VMs go on asking")
{
    std::set<unsigned> watchers;
    for (unsigned self = 0; self < 20; ++self) {
        if (planOf(self, 20).watchesStore)
            watchers.insert(self);
    }
    unsigned watchersAfterLoss = 0;
    unsigned watchersAfterDeath = 0;
    for (unsigned self = 0; self < 20; ++self) {
        if (watchers.count(self) == 1)
            continue;
        watchersAfterLoss += planOf(self, 20, watchers).watchesStore ? 1 : 0;
        watchersAfterDeath += planOf(self, 20, {}, watchers).watchesStore ? 1 : 0;
        for (const auto& ip : planOf(self, 20, watchers).sources)
            CHECK(watchers.count(static_cast<unsigned>(std::stoul(ip.substr(3)))) == 0);
    }
    CHECK(watchersAfterLoss == 3);
    CHECK(watchersAfterDeath == 3);
    std::set<unsigned> all;
    for (unsigned i = 0; i < 20; ++i)
        all.insert(i);
    unsigned asking = 0;
    for (unsigned self = 0; self < 20; ++self) {
        const auto plan = planOf(self, 20, all);
        CHECK(plan.storeOutage);
        asking += plan.watchesStore ? 1 : 0;
        CHECK((plan.watchesStore || plan.sources.size() == 2));
    }
    CHECK(asking == 3);
    all.erase(7); // Only VM 7 reaches the store: it watches, and two others go on asking.
    unsigned watching = 0;
    for (unsigned self = 0; self < 20; ++self) {
        const auto plan = planOf(self, 20, all);
        CHECK_FALSE(plan.storeOutage);
        watching += plan.watchesStore ? 1 : 0;
    }
    CHECK(planOf(7, 20, all).watchesStore);
    CHECK(watching == 3);
}

TEST_CASE("follow: a change that other VMs have counts as missing after the grace time; changes that arrive in time never do")
{
    const milliseconds grace { 900 };
    follow_lag lag;
    CHECK_FALSE(isLagging(lag, 10, 12, grace, Now));
    CHECK_FALSE(isLagging(lag, 10, 20, grace, Now + milliseconds(800)));
    CHECK(isLagging(lag, 10, 30, grace, Now + milliseconds(900))); // Newer changes do not restart the time.
    CHECK_FALSE(isLagging(lag, 12, 31, grace, Now + milliseconds(901))); // The change arrived; the next one has its own time.
    follow_lag steady;
    for (std::uint64_t i = 0; i < 100; ++i) // Every change arrives half a second after other VMs have it.
        CHECK_FALSE(isLagging(steady, 10 + i, 15 + i, grace, Now + i * milliseconds(100)));
    follow_lag noGrace;
    CHECK(isLagging(noGrace, 0, 5, milliseconds(0), Now));
    CHECK_FALSE(isLagging(noGrace, 5, 0, milliseconds(0), Now));
}

TEST_CASE("follow: a change made after a watch that was never answered is in force everywhere when the guarantees hold again")
{
    rc::prop("for all stability times", [] {
        const milliseconds stability { *rc::gen::inRange(2500, 20'000) };
        const milliseconds spread { 1200 }; // A pause, another call, and the way to all VMs.
        const auto times = planWatch(stability, false);
        RC_ASSERT(times.wait > milliseconds(0));
        RC_ASSERT(times.wait + times.answer + spread <= stability);
    });
    const auto lost = planWatch(seconds(4), true);
    const milliseconds longestPause { 1000 };
    CHECK(lost.wait + lost.answer + longestPause + milliseconds(1200) <= seconds(4));
    CHECK(planWatch(seconds(0), false).wait > milliseconds(0));
}
