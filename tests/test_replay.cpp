/** @file test_replay.cpp Tests of writing, reading and replaying traces, and of the checks on malformed ones. */
#include "replay/trace_func.h"
#include "zone_harness.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>

using namespace lhub;

static trace_header makeHeader(const std::vector<std::string>& outcomes)
{
    return { TraceFormat, trace_kind::Entry, "test", "vm1", "a", 1, 0, {}, outcomes };
}

/** A zone after a run in which one VM served requests, some responses were lost, and the other VM was killed. */
static zone_harness makeBusyZone()
{
    auto zone = makeZone(2);
    zone.runFor(seconds(4));
    for (int i = 0; i < 12; ++i) {
        const auto id = zone.sendRequest("vm1", "s", i % 3 == 0 ? "POST" : "GET");
        zone.runFor(milliseconds(40));
        zone.endDispatch("vm1", id, i % 4 == 0 ? dispatch_outcome::NoResponse : dispatch_outcome::Whole);
    }
    zone.dead.insert("vm2");
    zone.runFor(seconds(1));
    return zone;
}

static std::string writeTrace(const trace_header& header, const std::vector<timed_event>& events)
{
    std::ostringstream output;
    writeHeader(output, header);
    for (const auto& event : events)
        writeEvent(output, event);
    return output.str();
}

TEST_CASE("a trace that is written, read and written again is the same text")
{
    const auto busy = makeBusyZone();
    const auto text = writeTrace(makeHeader({ "slots_never_exceeded" }), busy.recorded.at("vm1"));
    std::istringstream input(text);
    const auto recorded = readTrace(input);
    REQUIRE(recorded);
    REQUIRE(recorded->entry.size() == busy.recorded.at("vm1").size());
    CHECK(writeTrace(recorded->header, recorded->entry) == text);
}

TEST_CASE("outcomes of the header are reported as held, broken or unknown")
{
    const auto busy = makeBusyZone();
    trace recorded;
    recorded.header = makeHeader({ "not_run_did_not_run", "requests==12", "requests==13", "no_such_thing" });
    recorded.entry = busy.recorded.at("vm1");
    const auto results = replayTrace(recorded);
    CHECK(results.at(0).held);
    CHECK(results.at(1).held);
    CHECK_FALSE(results.at(2).held);
    CHECK(results.at(2).reason == "requests is 12");
    CHECK_FALSE(results.at(3).held);
}

TEST_CASE("a malformed trace is refused with the number of the malformed line")
{
    std::istringstream noHeader("{\"t_us\": 1}\n");
    CHECK(readTrace(noHeader).reason.find("line 1: format") == 0);
    std::ostringstream text;
    writeHeader(text, makeHeader({}));
    text << R"({"t_us":1,"event":"made_up","data":{}})"
         << "\n";
    std::istringstream unknown(text.str());
    CHECK(readTrace(unknown).reason == "line 2: no such event: made_up");
}
