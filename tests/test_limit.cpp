/** @file test_limit.cpp Limits over all VMs, health of endpoints, and the bound on log lines. */
#include "health/health_func.h"
#include "limit/limit_func.h"
#include "log/log_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace lhub;

TEST_CASE("retries of all VMs together keep to the ratio and slack in every window, however requests arrive")
{
    rc::prop("the sum holds", [] {
        const retry_bounds bounds { 0.2, 64, seconds(10) };
        const auto vms = *rc::gen::inRange<std::uint32_t>(1, 20);
        const auto perTick = *rc::gen::container<std::vector<unsigned>>(60, rc::gen::inRange(0U, 12U));
        std::vector<retry_window> windows(vms);
        std::vector<std::pair<double, double>> seconds(61); // Requests and retries of all VMs in each second.
        for (std::size_t second = 0; second < perTick.size(); ++second) {
            const time_point now { std::chrono::seconds(1000 + second) };
            for (auto& window : windows) {
                for (unsigned i = 0; i < perTick[second]; ++i) {
                    countEvent(window.requests, now);
                    seconds[second].first += 1;
                    while (mayRetryWithin(window, bounds, vms, now)) { // Every chance is taken.
                        countEvent(window.extras, now);
                        seconds[second].second += 1;
                    }
                }
            }
        }
        for (std::size_t first = 0; first + 10 <= perTick.size(); ++first) {
            double requests = 0;
            double retries = 0;
            for (std::size_t i = first; i < first + 10; ++i) {
                requests += seconds[i].first;
                retries += seconds[i].second;
            }
            double before = 0; // The bound may count the window before instead.
            for (std::size_t i = first >= 10 ? first - 10 : 0; i < first; ++i)
                before += seconds[i].first;
            double half = 0;
            for (std::size_t i = first >= 5 ? first - 5 : 0; i < first + 5; ++i)
                half += seconds[i].first;
            RC_ASSERT(retries <= bounds.ratio * std::max({ requests, before, half }) + bounds.slack);
        }
    });
}

TEST_CASE("counts of old seconds fall out of the window, also after a long silence")
{
    second_counts counts;
    const time_point start { seconds(1000) };
    countEvent(counts, start);
    countEvent(counts, start + seconds(3));
    CHECK(eventsWithin(counts, start + seconds(3), seconds(4)) == 2);
    CHECK(eventsWithin(counts, start + seconds(3), seconds(3)) == 1);
    CHECK(eventsWithin(counts, start + seconds(20), seconds(10)) == 0);
    countEvent(counts, start + seconds(1000));
    CHECK(eventsWithin(counts, start + seconds(1000), seconds(10)) == 1);
}

TEST_CASE("a cold endpoint gets at most its rate in any second")
{
    cold_limit limit;
    time_point now { seconds(1000) };
    std::vector<time_point> sent;
    for (int i = 0; i < 400; ++i) {
        now += milliseconds(10);
        if (!mayWarm(limit, 4.8, now))
            continue;
        limit.sent.push_back(now);
        sent.push_back(now);
    }
    CHECK(sent.size() >= 12);
    for (std::size_t i = 4; i < sent.size(); ++i)
        CHECK(sent[i] - sent[i - 4] >= seconds(1));
}

TEST_CASE("failures in a row eject, one good answer on trial takes back, a bad one doubles the ejection")
{
    endpoint_health health;
    const time_point now { seconds(1000) };
    CHECK_FALSE(noteSignal(health, health_signal::Broken, now));
    CHECK_FALSE(noteSignal(health, health_signal::Broken, now));
    CHECK(noteSignal(health, health_signal::Broken, now));
    CHECK(isEjected(health, now));
    const auto first = health.ejectedUntil - now;
    const auto back = health.ejectedUntil;
    CHECK_FALSE(isEjected(health, back));
    CHECK(health.onTrial);
    CHECK(noteSignal(health, health_signal::Broken, back));
    CHECK(health.ejectedUntil - back == 2 * first);
    CHECK_FALSE(noteSignal(health, health_signal::Good, health.ejectedUntil));
    CHECK_FALSE(health.onTrial);
}

TEST_CASE("an endpoint that fails half of its requests is ejected, one that fails one in twenty is not")
{
    const time_point now { seconds(1000) };
    endpoint_health grey;
    bool ejected = false;
    for (int i = 0; i < 40; ++i)
        ejected = noteSignal(grey, i % 2 == 0 ? health_signal::Refused : health_signal::Good, now) || ejected;
    CHECK(ejected);
    endpoint_health sound;
    for (int i = 0; i < 400; ++i)
        CHECK_FALSE(noteSignal(sound, i % 20 == 0 ? health_signal::Broken : health_signal::Good, now));
}

TEST_CASE("slowness follows measurements and fades without them")
{
    endpoint_health health;
    const time_point now { seconds(1000) };
    for (int i = 0; i < 10; ++i)
        noteLatency(health, milliseconds(500), milliseconds(100), now);
    CHECK(slownessAt(health, now) > 4);
    CHECK(slownessAt(health, now + seconds(20)) < 1.1);
}

TEST_CASE("the log keeps to its burst and rate")
{
    log_bucket bucket;
    time_point now { seconds(1000) };
    unsigned taken = 0;
    for (int i = 0; i < 10'000; ++i)
        taken += takeLine(bucket, now) ? 1 : 0;
    CHECK(taken == static_cast<unsigned>(LogBurst));
    taken = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += milliseconds(1);
        taken += takeLine(bucket, now) ? 1 : 0;
    }
    CHECK(taken <= static_cast<unsigned>(10 * LogPerSecond) + 1);
    CHECK(taken >= static_cast<unsigned>(10 * LogPerSecond) - 1);
}
