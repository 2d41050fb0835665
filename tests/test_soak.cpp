/** @file test_soak.cpp The soak's own checks: each broken promise is seen, and a plan is the same for the same seed. */
#include "soak/soak_check.h"

#include <catch2/catch.hpp>

using namespace lhub;
using namespace lhub::soak;

/** A soak in which everything went well: some requests, each run once. */
static soak_record goodRecord()
{
    soak_record record;
    record.length = milliseconds(20'000);
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

/** Whether a line of the result begins so. */
static bool names(const std::vector<std::string>& broken, const std::string& what)
{
    return broken.size() == 1 && broken.front().rfind(what, 0) == 0;
}

TEST_CASE("soak: nothing is broken when everything went well") { CHECK(checkSoak(goodRecord(), {}).empty()); }

TEST_CASE("soak: each broken promise is seen")
{
    auto record = goodRecord();
    record.runs["r1"] = 2;
    CHECK(names(checkSoak(record, {}), "twice"));
    record = goodRecord();
    record.requests[1].status = 503;
    CHECK(names(checkSoak(record, {}), "refused"));
    record = goodRecord();
    record.runs["r1"] = 0;
    CHECK(names(checkSoak(record, {}), "unasked"));
    record = goodRecord();
    record.runs["smuggled"] = 1;
    CHECK(names(checkSoak(record, {}), "unasked"));
    record = goodRecord();
    record.requests[4].wrong = true;
    CHECK(names(checkSoak(record, {}), "mixed"));
    record = goodRecord();
    record.requests[4].inOrder = false;
    CHECK(names(checkSoak(record, {}), "order"));
    record = goodRecord();
    record.ends.push_back("ended: vm1");
    CHECK(names(checkSoak(record, {}), "ended"));
    record = goodRecord();
    for (std::size_t i = 180; i < 200; ++i)
        record.requests[i].status = 502;
    CHECK(names(checkSoak(record, {}), "recover"));
    record = goodRecord();
    for (auto& [id, runs] : record.runs)
        runs = id.back() % 2 == 0 ? 3 : 1;
    CHECK(checkSoak(record, {}).front().rfind("budget", 0) == 0);
}

TEST_CASE("soak: a VM that goes back to an older configuration is seen, a new start or an overlap is none")
{
    auto record = goodRecord();
    record.requests[10].version = 3;
    record.requests[20].version = 2;
    CHECK(names(checkSoak(record, {}), "config"));
    record.requests[20].start = 1;
    CHECK(checkSoak(record, {}).empty());
    record.requests[20].start = 0;
    record.requests[20].sentAt = record.requests[10].sentAt; // It was sent before the newer one was answered.
    CHECK(checkSoak(record, {}).empty());
}

TEST_CASE("soak: an answer lost by planned work counts in calm times only")
{
    auto record = goodRecord();
    record.requests[100].status = 0;
    record.plan = { { milliseconds(9000), step_kind::StopGate, 0, 0, milliseconds(300) } };
    CHECK(names(checkSoak(record, {}), "lost"));
    record.plan.push_back({ milliseconds(8000), step_kind::KillGate, 0, 0, milliseconds(300) });
    CHECK(checkSoak(record, {}).empty());
    record.plan.clear();
    soak_bounds untimed;
    untimed.timed = false;
    CHECK(checkSoak(record, untimed).empty());
}

TEST_CASE("soak: the same seed gives the same plan, which leaves its last third for recovery")
{
    const milliseconds length { 30'000 };
    for (std::uint64_t seed = 1; seed < 50; ++seed) {
        const auto plan = planSoak(seed, length);
        const auto again = planSoak(seed, length);
        REQUIRE(plan.size() == again.size());
        REQUIRE_FALSE(plan.empty());
        for (std::size_t i = 0; i < plan.size(); ++i) {
            CHECK(plan[i].at == again[i].at);
            CHECK(plan[i].kind == again[i].kind);
            CHECK(plan[i].at < length * 2 / 3);
        }
    }
}
