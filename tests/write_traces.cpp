/** @file write_traces.cpp Writes the traces of failures to traces/. Run `lhub-tests "[.traces]"` in the root folder. */
#include "idempotency/idempotency_func.h"
#include "replay/trace_func.h"
#include "zone_harness.h"

#include <catch2/catch.hpp>
#include <fstream>

using namespace lhub;

/** Writes the events of @p vm with all invariants and @p extraOutcomes as the outcomes in the header. */
static void writeTrace(const zone_harness& zone, const std::string& name, const std::string& vm, const std::string& about,
    const std::vector<std::string>& extraOutcomes)
{
    std::vector<std::string> outcomes { "slots_never_exceeded", "credits_leave_the_reserve", "cap_never_exceeded",
        "not_run_did_not_run", "unrepeatable_ran_at_most_once", "versions_never_fall", "no_work_to_leaving_endpoints",
        "no_grant_without_lease" };
    outcomes.insert(outcomes.end(), extraOutcomes.begin(), extraOutcomes.end());
    std::ofstream output("traces/" + name + ".jsonl");
    writeHeader(output, { TraceFormat, trace_kind::Entry, about, vm, zone.vms.at(vm).zone, 1, 0, {}, outcomes });
    for (const auto& event : zone.recorded.at(vm))
        writeEvent(output, event);
    REQUIRE(output.good());
}

/** Sends a request to both VMs every 40 ms for @p time; every dispatch ends with @p ending. */
static void sendLoad(zone_harness& zone, milliseconds time, dispatch_outcome ending, const std::string& method = "GET")
{
    constexpr milliseconds RequestInterval { 40 };
    for (milliseconds passed { 0 }; passed < time; passed += RequestInterval) {
        std::vector<std::pair<std::string, std::uint64_t>> sent;
        for (const std::string vm : { "vm1", "vm2" })
            sent.emplace_back(vm, zone.sendRequest(vm, "s", method));
        zone.runFor(RequestInterval);
        for (const auto& [vm, id] : sent)
            zone.endDispatch(vm, id, ending);
    }
}

TEST_CASE("build the traces of failures", "[.traces]")
{
    {
        auto zone = makeZone(2);
        zone.runFor(seconds(3));
        sendLoad(zone, seconds(1), dispatch_outcome::Whole);
        const auto owner = zone.owners("s").at(0);
        zone.paused.insert(owner);
        sendLoad(zone, seconds(3), dispatch_outcome::Whole);
        zone.paused.clear();
        sendLoad(zone, seconds(3), dispatch_outcome::Whole);
        writeTrace(zone, "owner-paused", owner, "a paused owner wakes and finds its pool taken over", { "pauses>=1" });
        writeTrace(zone, "owner-paused-peer", owner == "vm1" ? "vm2" : "vm1", "the peer of a paused owner takes over",
            { "take_overs>=1", "pauses==0" });
    }
    {
        auto zone = makeZone(2);
        zone.runFor(seconds(3));
        const auto owner = zone.owners("s").at(0);
        zone.loseReplies.insert(owner);
        zone.feed(owner, stop_asked {});
        sendLoad(zone, seconds(1), dispatch_outcome::Whole);
        zone.loseReplies.clear();
        sendLoad(zone, seconds(2), dispatch_outcome::Whole);
        writeTrace(zone, "hand-over-lost", owner == "vm1" ? "vm2" : "vm1",
            "an owner stops and the answer that hands its pool over is lost", { "take_overs>=1" });
    }
    {
        auto zone = makeZone(2);
        zone.runFor(seconds(3));
        sendLoad(zone, seconds(1), dispatch_outcome::NoResponse, "POST");
        sendLoad(zone, seconds(1), dispatch_outcome::ConnectFailed, "POST");
        sendLoad(zone, seconds(1), dispatch_outcome::TimedOut);
        const auto key = makeKeyPrefix("vm1", 1, zone.now) + "order";
        for (const std::string vm : { "vm1", "vm2", "vm1" }) {
            const auto id = zone.sendRequest(vm, "s", "POST", key);
            zone.runFor(milliseconds(40));
            zone.endDispatch(vm, id, dispatch_outcome::TimedOut);
        }
        writeTrace(zone, "orders-lost-refused-repeated", "vm1",
            "answers of orders lost, connections refused, answers late, one key used three times", { "uncertain>=20" });
    }
    {
        auto zone = makeZone(2);
        zone.configure("place/b", { { "zone", "b" }, { "region", "q" } });
        zone.configure("shift/m",
            { { "name", "m" }, { "service", "s" }, { "from_region", "r" }, { "to_region", "q" }, { "permille", 1000 },
                { "cap_per_second", 5 }, { "status", "running" }, { "zones", json::array { "a" } } });
        zone.add("vm3", "b");
        zone.configure("drain/d", { { "name", "d" }, { "kind", "endpoint" }, { "target", "s/a-2" } });
        zone.runFor(seconds(8));
        sendLoad(zone, seconds(2), dispatch_outcome::Whole);
        zone.runFor(seconds(6), false);
        sendLoad(zone, seconds(2), dispatch_outcome::Whole);
        writeTrace(zone, "shift-without-headroom", zone.owners("s").at(0),
            "a shift towards a region that lends nothing, an endpoint drained, the store silent for 6 s",
            { "moved==0", "uncertain==0" });
    }
    {
        auto zone = makeZone(1, 1);
        zone.runFor(seconds(4));
        for (int i = 0; i < 100; ++i) {
            zone.sendRequest("vm1", "s");
            zone.sendRequest("vm2", "s");
            zone.runFor(milliseconds(20));
        }
        zone.runFor(seconds(3));
        writeTrace(zone, "overload", zone.owners("s").at(0), "far more requests than slots, none of which ever ends",
            { "refused>=50", "uncertain==0" });
    }
}
