/** @file test_gossip.cpp Gossip membership: which members count as alive and which of them look-ups name. */
#include "gossip/gossip_func.h"
#include "lookup/lookup_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace lhub;

static const gossip_settings Settings;
static const std::map<std::string, std::string> RegionOfZone { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };

static member_record recordOf(const std::string& vm, const std::string& zone, std::uint64_t incarnation, std::uint64_t beat, bool serving = true)
{
    return { vm, "10.0.0." + vm, zone, incarnation, beat, serving, true, 100, milliseconds(0), { beat, 2, 3 } };
}

static member_table tableFor(const std::string& self, const std::string& zone)
{
    member_table table;
    table.self = self;
    table.regionOfZone = RegionOfZone;
    table.members[self] = { recordOf(self, zone, 1, 0), {} };
    return table;
}

static std::size_t aliveCount(const member_table& table, time_point now) { return aliveMembers(table, Settings, now).size(); }

TEST_CASE("gossip: a member is alive only while its heartbeat rises")
{
    auto table = tableFor("1", "a1");
    const time_point start { seconds(100) };
    mergeMemberRecords(table, { recordOf("2", "a2", 1, 5) }, "2", start);
    CHECK(aliveCount(table, start + seconds(1)) == 2);
    // The same heartbeat, passed on later by a third member, does not make it alive for longer.
    mergeMemberRecords(table, { recordOf("3", "a1", 1, 1), recordOf("2", "a2", 1, 5) }, "3", start + seconds(2));
    CHECK(aliveCount(table, start + Settings.deadAfter + milliseconds(1)) == 2);
    CHECK(aliveCount(table, start + seconds(2) + Settings.deadAfter + milliseconds(1)) == 1);
    // Members of another region have a longer time-out, since their records arrive less often.
    mergeMemberRecords(table, { recordOf("4", "b1", 1, 1) }, "4", start + seconds(10));
    CHECK(aliveCount(table, start + seconds(10) + Settings.deadAfter + milliseconds(1)) == 2);
    CHECK(aliveCount(table, start + seconds(10) + Settings.otherRegionDeadAfter + milliseconds(1)) == 1);
}

// Guards against a stop that the logs of the other VMs cannot tell from a kill.
TEST_CASE("gossip: a graceful stop of a VM is seen by the others of its region, and differs from a kill")
{
    auto table = tableFor("1", "a1");
    const time_point start { seconds(100) };
    const auto after = [&](seconds time) {
        while (table.roundStartedAt < start + time) // A round each second, up to that time.
            (void)nextGossipMessages(table, Settings, std::max(start, table.roundStartedAt + seconds(1)));
        return memberChanges(table, Settings, start + time);
    };
    mergeMemberRecords(table, { recordOf("2", "a2", 7, 1) }, "2", start);
    mergeMemberRecords(table, { recordOf("3", "a1", 7, 1) }, "3", start);
    mergeMemberRecords(table, { recordOf("4", "b1", 7, 1) }, "4", start);
    CHECK(after(seconds(0)).size() == 2); // The VM of another region is not among them.
    CHECK(after(seconds(1)).empty());
    mergeMemberRecords(table, { recordOf("2", "a2", 7, 2, false) }, "2", start + seconds(1));
    const auto stopped = after(seconds(1));
    REQUIRE(stopped.size() == 1);
    CHECK(stopped[0].vm == "2");
    CHECK(stopped[0].state == member_status::NotServing);
    mergeMemberRecords(table, { recordOf("3", "a1", 8, 1) }, "3", start + seconds(2)); // Killed and started again.
    const auto restarted = after(seconds(2));
    REQUIRE(restarted.size() == 1);
    CHECK(restarted[0].incarnation == 8);
    CHECK(restarted[0].state == member_status::Serving);
    const auto silent = after(seconds(10));
    REQUIRE(silent.size() == 2);
    CHECK(silent[0].state == member_status::Silent);
}

// Guards against log lines that blame the other VMs for a pause of this one.
TEST_CASE("gossip: a VM that was paused itself does not report the others as silent")
{
    auto table = tableFor("1", "a1");
    const time_point start { seconds(100) };
    mergeMemberRecords(table, { recordOf("2", "a2", 7, 1) }, "2", start);
    (void)nextGossipMessages(table, Settings, start);
    CHECK(memberChanges(table, Settings, start).size() == 1);
    CHECK(memberChanges(table, Settings, start + seconds(6)).empty());
    (void)nextGossipMessages(table, Settings, start + seconds(6));
    CHECK(memberChanges(table, Settings, start + seconds(6)).empty());
}

TEST_CASE("gossip: the member list in the store does not show that a member is alive")
{
    auto table = tableFor("1", "a1");
    mergeMemberRecords(table, { recordOf("2", "a2", 1, 0) }, {}, time_point { seconds(100) });
    CHECK(aliveCount(table, time_point { seconds(100) }) == 1);
}

TEST_CASE("gossip: after a restart with its clock set back, a lower incarnation is accepted from the VM itself, not from other members")
{
    auto table = tableFor("1", "a1");
    const time_point start { seconds(100) };
    mergeMemberRecords(table, { recordOf("2", "a2", 50, 9) }, "2", start);
    mergeMemberRecords(table, { recordOf("3", "b1", 1, 1), recordOf("2", "a2", 40, 1) }, "3", start);
    CHECK(table.members.at("2").record.incarnation == 50);
    mergeMemberRecords(table, { recordOf("2", "a2", 40, 1) }, "2", start);
    CHECK(table.members.at("2").record.incarnation == 40);
}

TEST_CASE("look-ups name the serving VMs of the caller's region, else of the host's home regions, else of all regions")
{
    auto table = tableFor("1", "a1");
    const time_point now { seconds(100) };
    mergeMemberRecords(table, { recordOf("2", "a2", 1, 1), recordOf("3", "b1", 1, 1), recordOf("4", "a2", 1, 1, false) }, "2", now);
    CHECK(membersFor(table, "a", {}, RegionOfZone, Settings, now) == std::vector<std::string> { "10.0.0.1", "10.0.0.2" });
    CHECK(membersFor(table, "b", {}, RegionOfZone, Settings, now) == std::vector<std::string> { "10.0.0.3" });
    CHECK(membersFor(table, "c", { "b" }, RegionOfZone, Settings, now) == std::vector<std::string> { "10.0.0.3" });
    CHECK(membersFor(table, "c", {}, RegionOfZone, Settings, now).size() == 3);
}

TEST_CASE("gossip: messages are decoded as they were encoded; malformed messages give no records")
{
    const auto message = encodeMemberRecords({ recordOf("2", "a2", 7, 9), recordOf("3", "b1", 8, 1, false) });
    const auto records = decodeMemberRecords(message);
    REQUIRE(records.size() == 2);
    CHECK(records[0].vm == "2");
    CHECK(records[0].incarnation == 7);
    CHECK(records[1].serving == false);
    CHECK(records[0].knownRevisions == known_revisions { 9, 2, 3 });
    for (std::size_t i = 0; i < message.size(); ++i)
        CHECK(decodeMemberRecords(std::string_view(message).substr(0, i)).empty());
    CHECK(decodeMemberRecords("[[1,2,3,4,5,6,7,8,9]]").empty());
    CHECK(decodeMemberRecords("[[\"a\",\"b\",\"c\",-1,5,true,true,1,0,0,0,0]]").empty());
}

/** Members that gossip over a simulated network that loses and duplicates datagrams. */
struct gossip_cluster {
    std::vector<member_table> tables; ///< One for each member; the member's name is its index.
    std::vector<bool> up; ///< Whether the member runs, by index.
    std::size_t sentBytes = 0; ///< Bytes sent by all members.
};

static gossip_cluster makeCluster(std::size_t size, std::size_t regions = 1)
{
    static const std::vector<std::string> Zones { "a1", "b1", "c1", "a2", "b2", "c2" };
    gossip_cluster cluster;
    for (std::size_t i = 0; i < size; ++i) {
        cluster.tables.push_back(tableFor(std::to_string(i), regions == 1 ? "a1" : Zones[i % Zones.size()]));
        cluster.tables.back().regionOfZone = { { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" }, { "c1", "c" }, { "c2", "c" } };
        cluster.up.push_back(true);
    }
    // At first all members know only member 0, as from the member list in the store.
    for (auto& table : cluster.tables)
        mergeMemberRecords(table, { recordOf("0", "a1", 1, 0) }, {}, time_point { seconds(100) });
    return cluster;
}

/** Plays one round of all running members. @param draw seed of the losses and duplicates. */
static void simulateRound(gossip_cluster& cluster, time_point now, unsigned lossPercent, unsigned draw)
{
    for (std::size_t from = 0; from < cluster.tables.size(); ++from) {
        if (!cluster.up[from])
            continue;
        const auto messages = nextGossipMessages(cluster.tables[from], Settings, now);
        const auto targets = nextGossipTargets(cluster.tables[from], Settings, now);
        const auto send = [&](const std::vector<std::string>& ips, const std::vector<member_record>& records) {
            const auto message = encodeMemberRecords(records);
            for (const auto& ip : ips) {
                draw = draw * 1664525 + 1013904223;
                const auto to = std::stoul(ip.substr(ip.rfind('.') + 1));
                cluster.sentBytes += message.size();
                if ((draw >> 16) % 100 < lossPercent || !cluster.up[to])
                    continue;
                const auto received = decodeMemberRecords(message);
                const auto reply = replyToJoin(cluster.tables[to], received, Settings, now);
                mergeMemberRecords(cluster.tables[to], received, received.front().vm, now);
                if (reply && (draw >> 24) % 100 >= lossPercent)
                    mergeMemberRecords(cluster.tables[from], *reply, reply->front().vm, now);
                if ((draw >> 8) % 4 == 0) // The datagram is duplicated.
                    mergeMemberRecords(cluster.tables[to], received, received.front().vm, now);
            }
        };
        send(targets.sameRegion, messages.sameRegion);
        send(targets.otherRegions, messages.otherRegions);
    }
}

TEST_CASE("gossip: with 20% loss all members know each other after 8 s and count a stopped member as dead after 7 s")
{
    rc::prop("gossip converges", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 70);
        const auto seed = *rc::gen::arbitrary<unsigned>();
        auto cluster = makeCluster(size);
        time_point now { seconds(100) };
        const auto playRounds = [&](int rounds) {
            for (int i = 0; i < rounds; ++i) {
                now += Settings.interval;
                simulateRound(cluster, now, 20, seed + static_cast<unsigned>(i));
            }
        };
        playRounds(16);
        for (const auto& table : cluster.tables)
            RC_ASSERT(aliveCount(table, now) == size);
        cluster.up[0] = false;
        playRounds(14); // 7 s, after which look-ups must not name a dead member.
        for (std::size_t i = 1; i < size; ++i)
            RC_ASSERT(aliveCount(cluster.tables[i], now) == size - 1);
    });
}

TEST_CASE("gossip: in three regions with 10% loss each member knows its region after 6 s, sees stopped members as dead after 7 s and alive again after 12 s")
{
    rc::prop("regions converge", [] {
        const auto size = *rc::gen::inRange<std::size_t>(6, 70);
        const auto seed = *rc::gen::arbitrary<unsigned>();
        auto cluster = makeCluster(size, 3);
        time_point now { seconds(100) };
        const auto playRounds = [&](int rounds) {
            for (int i = 0; i < rounds; ++i) {
                now += Settings.interval;
                simulateRound(cluster, now, 10, seed + static_cast<unsigned>(i));
            }
        };
        const auto aliveInRegion = [&](std::size_t index) {
            std::size_t result = 0;
            for (const auto* member : aliveMembers(cluster.tables[index], Settings, now))
                result += member->zone[0] == cluster.tables[index].members.at(std::to_string(index)).record.zone[0] ? 1 : 0;
            return result;
        };
        const auto runningInRegion = [&](std::size_t index) {
            std::size_t result = 0;
            for (std::size_t i = index % 3; i < size; i += 3)
                result += cluster.up[i] ? 1 : 0;
            return result;
        };
        playRounds(12); // 6 s; traffic begins 8 s after the VMs start.
        for (std::size_t i = 0; i < size; ++i)
            RC_ASSERT(aliveInRegion(i) == runningInRegion(i));
        cluster.up[1] = false;
        cluster.up[2] = false;
        playRounds(14); // 7 s, after which look-ups must not name a dead member.
        for (std::size_t i = 0; i < size; ++i)
            RC_ASSERT(!cluster.up[i] || aliveInRegion(i) == runningInRegion(i));
        cluster.up[1] = true;
        cluster.up[2] = true;
        playRounds(24);
        for (std::size_t i = 0; i < size; ++i)
            RC_ASSERT(aliveInRegion(i) == runningInRegion(i));
    });
}

TEST_CASE("gossip: 62 VMs in three regions send less than 12 KB per second each on average")
{
    auto cluster = makeCluster(62, 3);
    time_point now { seconds(100) };
    for (int i = 0; i < 60; ++i) {
        now += Settings.interval;
        if (i == 40)
            cluster.sentBytes = 0;
        simulateRound(cluster, now, 0, static_cast<unsigned>(i));
    }
    CHECK(cluster.sentBytes / 62 / 10 < 12'000);
}

TEST_CASE("gossip: records passed on keep their age, so that every region counts a stopped member as dead after 7 s")
{
    auto table = tableFor("1", "a1");
    const time_point start { seconds(100) };
    auto passedOn = recordOf("2", "a2", 1, 5);
    passedOn.age = milliseconds(4000);
    mergeMemberRecords(table, { recordOf("3", "a2", 1, 1), passedOn }, "3", start);
    CHECK(aliveCount(table, start) == 3);
    CHECK(aliveCount(table, start + Settings.deadAfter - milliseconds(3999)) == 2);
    rc::prop("dead in all regions", [] {
        const auto size = *rc::gen::inRange<std::size_t>(6, 70);
        const auto seed = *rc::gen::arbitrary<unsigned>();
        auto cluster = makeCluster(size, 3);
        time_point now { seconds(100) };
        const auto playRounds = [&](int rounds) {
            for (int i = 0; i < rounds; ++i) {
                now += Settings.interval;
                simulateRound(cluster, now, 10, seed + static_cast<unsigned>(i));
            }
        };
        playRounds(24);
        const auto dead = size / 2;
        cluster.up[dead] = false;
        playRounds(14); // 7 s, after which no VM of any region may name it.
        for (std::size_t i = 0; i < size; ++i) {
            const auto alive = aliveMembers(cluster.tables[i], Settings, now);
            RC_ASSERT(!cluster.up[i] || std::none_of(alive.begin(), alive.end(), [&](const auto* record) { return record->vm == std::to_string(dead); }));
        }
    });
}
