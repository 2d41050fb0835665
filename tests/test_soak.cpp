/** @file test_soak.cpp The checks of the soak: each violated guarantee is reported, and the same seed gives the same plan. */
#include "soak/soak_check.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lhub;
using namespace lhub::soak;

/** Record of a soak without violations: some requests, each run once. */
static soak_record recordWithoutViolations()
{
    soak_record record;
    record.duration = milliseconds(20'000);
    for (int i = 0; i < 200; ++i) {
        request_record request;
        request.id = "r" + std::to_string(i);
        request.repeatable = i % 2 == 0;
        request.sentAt = milliseconds(i * 100);
        request.endedAt = request.sentAt + milliseconds(20);
        request.status = 200;
        record.requests.push_back(request);
        record.runs[request.id] = 1;
    }
    return record;
}

/** Whether the result is one line, which begins with @p what. */
static bool hasOnly(const std::vector<std::string>& violations, const std::string& what)
{
    return violations.size() == 1 && violations.front().rfind(what, 0) == 0;
}

TEST_CASE("soak: a record without violations passes") { CHECK(checkSoak(recordWithoutViolations(), {}).empty()); }

TEST_CASE("soak: each violated guarantee is reported")
{
    auto record = recordWithoutViolations();
    record.runs["r1"] = 2;
    CHECK(hasOnly(checkSoak(record, {}), "twice"));
    record = recordWithoutViolations();
    record.requests[1].status = 503;
    CHECK(hasOnly(checkSoak(record, {}), "refused"));
    record = recordWithoutViolations();
    record.runs["r1"] = 0;
    CHECK(hasOnly(checkSoak(record, {}), "unasked"));
    record = recordWithoutViolations();
    record.runs["smuggled"] = 1;
    CHECK(hasOnly(checkSoak(record, {}), "unasked"));
    record = recordWithoutViolations();
    record.requests[4].wrong = true;
    CHECK(hasOnly(checkSoak(record, {}), "mixed"));
    record = recordWithoutViolations();
    record.requests[4].inOrder = false;
    CHECK(hasOnly(checkSoak(record, {}), "order"));
    record = recordWithoutViolations();
    record.processFailures.push_back("ended: vm1");
    CHECK(hasOnly(checkSoak(record, {}), "ended"));
    record = recordWithoutViolations();
    for (std::size_t i = 180; i < 200; ++i)
        record.requests[i].status = 502;
    CHECK(hasOnly(checkSoak(record, {}), "recover"));
    record = recordWithoutViolations();
    for (auto& [id, runs] : record.runs)
        runs = id.back() % 2 == 0 ? 3 : 1;
    CHECK(checkSoak(record, {}).front().rfind("budget", 0) == 0);
}

TEST_CASE("soak: a VM that returns to an older configuration is reported, unless it was restarted or the requests overlapped")
{
    auto record = recordWithoutViolations();
    record.requests[10].configVersion = 3;
    record.requests[20].configVersion = 2;
    CHECK(hasOnly(checkSoak(record, {}), "config"));
    record.requests[20].gateStart = 1;
    CHECK(checkSoak(record, {}).empty());
    record.requests[20].gateStart = 0;
    record.requests[20].sentAt = record.requests[10].sentAt; // Sent before the response to the newer one.
    CHECK(checkSoak(record, {}).empty());
}

TEST_CASE("soak: a lost response is reported only when no unplanned step is near")
{
    auto record = recordWithoutViolations();
    record.requests[100].status = 0;
    record.plan = { { milliseconds(9000), step_kind::StopGate, 0, 0, milliseconds(300) } };
    CHECK(hasOnly(checkSoak(record, {}), "lost"));
    record.plan.push_back({ milliseconds(8000), step_kind::KillGate, 0, 0, milliseconds(300) });
    CHECK(checkSoak(record, {}).empty());
    record.plan.clear();
    soak_bounds untimed;
    untimed.checkTiming = false;
    CHECK(checkSoak(record, untimed).empty());
}

TEST_CASE("soak: with planned operations only, lost responses and requests that cross the end of a VM are reported on a busy machine, too")
{
    soak_bounds untimed;
    untimed.checkTiming = false;
    auto record = recordWithoutViolations();
    record.scenario = soak_scenario::Planned;
    record.requests[100].status = 0;
    record.stops[{ 0, 0 }] = record.requests[100].sentAt - milliseconds(4700);
    const auto violations = checkSoak(record, untimed);
    CHECK(hasOnly(violations, "lost"));
    CHECK(violations.front().find("sent 4700 ms and cut 4720 ms after SIGTERM") != std::string::npos);
    record.runs.erase(record.requests[100].id);
    CHECK(checkSoak(record, untimed).empty()); // Behind another request on its connection.
    record.requests[100].alone = true;
    CHECK(hasOnly(checkSoak(record, untimed), "crossed"));
    record.scenario = soak_scenario::Faults;
    CHECK(checkSoak(record, untimed).empty());
}

TEST_CASE("soak: a plan of planned operations has no fault, and stops VMs")
{
    for (std::uint64_t seed = 1; seed < 50; ++seed) {
        const auto plan = planSoak(seed, milliseconds(30'000), soak_scenario::Planned);
        CHECK(std::all_of(plan.begin(), plan.end(), [](const soak_step& step) { return isPlanned(step.kind); }));
        CHECK(std::any_of(plan.begin(), plan.end(), [](const soak_step& step) { return step.kind == step_kind::StopGate || step.kind == step_kind::RollGates; }));
    }
}

TEST_CASE("soak: a plan for callers with habits stops six VMs in turn, some while another one stops")
{
    static constexpr milliseconds StopTime { 6000 };
    for (std::uint64_t seed = 1; seed < 50; ++seed) {
        const auto plan = planSoak(seed, milliseconds(20'000), soak_scenario::Habits);
        REQUIRE(plan.size() == 6);
        bool overlap = false;
        for (std::size_t i = 0; i < plan.size(); ++i) {
            CHECK(plan[i].kind == step_kind::StopGate);
            CHECK(plan[i].target == plan[0].target + i);
            CHECK(plan[i].at * 3 < milliseconds(20'000) * 2);
            overlap = overlap || (i > 0 && plan[i].at - plan[i - 1].at < StopTime);
        }
        CHECK(overlap);
    }
}

TEST_CASE("soak: the lost request of a caller with a habit is reported with the habit, on a busy machine, too")
{
    soak_bounds untimed;
    untimed.checkTiming = false;
    auto record = recordWithoutViolations();
    record.scenario = soak_scenario::Habits;
    record.requests[101].habit = caller_habit::PooledOrders;
    record.requests[101].status = 0;
    const auto violations = checkSoak(record, untimed);
    CHECK(hasOnly(violations, "lost: r101 (order) "));
    record.runs.erase("r101");
    record.requests[101].alone = true;
    CHECK(hasOnly(checkSoak(record, untimed), "crossed: r101 (order) "));
}

TEST_CASE("soak: the same seed gives the same plan, in which no step begins in the last third")
{
    const milliseconds duration { 30'000 };
    for (std::uint64_t seed = 1; seed < 50; ++seed) {
        const auto plan = planSoak(seed, duration);
        const auto again = planSoak(seed, duration);
        REQUIRE(plan.size() == again.size());
        REQUIRE_FALSE(plan.empty());
        for (std::size_t i = 0; i < plan.size(); ++i) {
            CHECK(plan[i].at == again[i].at);
            CHECK(plan[i].kind == again[i].kind);
            CHECK(plan[i].at < duration * 2 / 3);
        }
    }
}
