/** @file test_self_report.cpp What endpoints say about themselves, and the updates about it between VMs. */
#include "self_report/self_report_func.h"

#include <catch2/catch.hpp>

using namespace lhub;

static const time_point Now { seconds(100) };

/** The updates that a VM with @p table sends in the next round, as others receive them. */
static std::vector<report_update> sendUpdates(self_report_table& table, time_point now) { return decodeReportUpdates(encodeReportUpdates(nextReportUpdates(table, now))); }

TEST_CASE("self report: a change is sent to other VMs a few times, with its age, and passed on by these")
{
    self_report_table first;
    self_report_table second;
    recordSelfReport(first, "e1", 7, { true, milliseconds(500), 4.8 }, Now);
    const auto updates = sendUpdates(first, Now + milliseconds(300));
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].leaving);
    CHECK(updates[0].requestsPerSecond == 4.8);
    CHECK(updates[0].age == milliseconds(300));
    const auto change = applyReportUpdate(second, updates[0], Now + milliseconds(400));
    CHECK((change.leaving && change.limit && !change.paused));
    CHECK(hasReportedLeaving(second, "e1", 7));
    CHECK_FALSE(hasReportedLeaving(second, "e1", 8));
    CHECK(pausedUntil(second, "e1", 7) == time_point {}); // A pause concerns the VM that was asked only.
    CHECK(sendUpdates(second, Now + milliseconds(500)).at(0).age == milliseconds(400));
    recordSelfReport(first, "e1", 7, { true, milliseconds(0), 4.9 }, Now + milliseconds(600)); // Too small a change to be sent.
    unsigned rounds = 0;
    for (; !sendUpdates(first, Now + seconds(1)).empty(); ++rounds)
        REQUIRE(rounds < 10);
    CHECK(rounds >= 1);
}

TEST_CASE("self report: an update never replaces what the endpoint has said since, and leaving is final for one start")
{
    self_report_table table;
    recordSelfReport(table, "e1", 7, { false, milliseconds(0), 4.8 }, Now);
    recordSelfReport(table, "e1", 7, {}, Now + seconds(2));
    applyReportUpdate(table, { "e1", 7, false, 4.8, milliseconds(1500) }, Now + seconds(3));
    CHECK_FALSE(limitedState(table, "e1", 7));
    applyReportUpdate(table, { "e1", 7, false, 3.0, milliseconds(500) }, Now + seconds(3));
    CHECK(limitedState(table, "e1", 7));
    applyReportUpdate(table, { "e1", 7, true, std::nullopt, seconds(60) }, Now + seconds(4));
    CHECK(hasReportedLeaving(table, "e1", 7));
    CHECK(limitedState(table, "e1", 7));
    applyReportUpdate(table, { "e1", 7, false, std::nullopt, milliseconds(0) }, Now + seconds(5));
    CHECK(hasReportedLeaving(table, "e1", 7));
    applyReportUpdate(table, { "e1", 6, true, std::nullopt, seconds(9) }, Now + seconds(6)); // An older report of another start.
    CHECK(hasReportedLeaving(table, "e1", 7));
}

TEST_CASE("self report: reports of an older start never replace those of a newer one, which hold for an older registration too")
{
    self_report_table table;
    recordSelfReport(table, "e1", 7, { true, seconds(60), 4.8 }, Now);
    applyReportUpdate(table, { "e1", 6, false, std::nullopt, milliseconds(0) }, Now + seconds(1)); // By a VM that does not know of the restart.
    CHECK(hasReportedLeaving(table, "e1", 7));
    recordSelfReport(table, "e1", 6, { false, milliseconds(0), 9.0 }, Now + seconds(2)); // A late response.
    CHECK(hasReportedLeaving(table, "e1", 7));
    REQUIRE(limitedState(table, "e1", 7));
    CHECK(limitedState(table, "e1", 7)->requestsPerSecond == 4.8);
    CHECK(hasReportedLeaving(table, "e1", 6));
    CHECK(pausedUntil(table, "e1", 6) == Now + seconds(60));
    applyReportUpdate(table, { "e1", 8, false, 3.0, seconds(9) }, Now + seconds(3)); // Older than the report known, but of a newer start.
    CHECK_FALSE(hasReportedLeaving(table, "e1", 8));
    REQUIRE(limitedState(table, "e1", 8));
    CHECK(limitedState(table, "e1", 8)->requestsPerSecond == 3.0);
}

TEST_CASE("self report: a leaving reported before the start of this machine's clock counts")
{
    self_report_table table;
    applyReportUpdate(table, { "e1", 7, true, std::nullopt, seconds(60) }, time_point(seconds(2)));
    CHECK(hasReportedLeaving(table, "e1", 7));
}

TEST_CASE("self report: messages, and what is kept, are bounded")
{
    self_report_table table;
    for (int i = 0; i < 10'000; ++i)
        recordSelfReport(table, "e" + std::to_string(i), 1, { true, milliseconds(0), std::nullopt }, Now + milliseconds(i));
    CHECK(table.size() <= 4096);
    CHECK(hasReportedLeaving(table, "e9999", 1));
    CHECK(encodeReportUpdates(nextReportUpdates(table, Now + seconds(20))).size() < 1000);
    self_report_table silent;
    recordSelfReport(silent, "e1", 1, {}, Now);
    CHECK(silent.empty()); // Most endpoints say nothing.
}

TEST_CASE("self report: malformed messages are ignored")
{
    for (const std::string message : { "", "[]", "{}", R"({"self_reports":7})", R"({"self_reports":[["e1"]]})", R"({"self_reports":[["e1",1,true,null]]})",
             R"({"self_reports":[[1,1,true,null,5]]})", R"({"self_reports":[["e1",1,1,null,5]]})", R"({"self_reports":[["e1",1,true,"x",5]]})", R"({"self_reports":[["e1",1.5,true,2,5]]})" }) {
        CAPTURE(message);
        CHECK(decodeReportUpdates(message).empty());
    }
    CHECK(decodeReportUpdates(R"({"self_reports":[["e1",1,true,-2,-5]]})").at(0).requestsPerSecond == 0.0);
    const auto extreme = decodeReportUpdates(R"({"self_reports":[["e1",1,true,1e400,9223372036854775807]]})");
    CHECK((extreme.at(0).requestsPerSecond < 1e12 && extreme.at(0).age < std::chrono::hours(48)));
    CHECK(decodeReportUpdates(R"({"self_reports":[["e1",1,true,-2,-5]]})").at(0).age == milliseconds(0));
}
