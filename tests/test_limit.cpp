/** @file test_limit.cpp Limits for all VMs together, and health of endpoints. */
#include "health/health_func.h"
#include "limit/limit_func.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <rapidcheck/catch.h>

using namespace lhub;

TEST_CASE("retries of all VMs together stay within the ratio and slack in every window, however requests arrive")
{
    rc::prop("the sum over all VMs stays within the limit", [] {
        const retry_bounds bounds { 0.2, 64, seconds(10) };
        const auto vms = *rc::gen::inRange<std::uint32_t>(1, 20);
        const auto requestsPerSecond = *rc::gen::container<std::vector<unsigned>>(60, rc::gen::inRange(0U, 12U));
        std::vector<retry_counts> countsOfVms(vms);
        std::vector<std::pair<double, double>> totals(61); // Requests and retries of all VMs in each second.
        for (std::size_t second = 0; second < requestsPerSecond.size(); ++second) {
            const time_point now { std::chrono::seconds(1000 + second) };
            for (auto& counts : countsOfVms) {
                for (unsigned i = 0; i < requestsPerSecond[second]; ++i) {
                    countEvent(counts.requests, now);
                    totals[second].first += 1;
                    while (mayRetryWithin(counts, bounds, vms, now)) { // Retries as often as allowed.
                        countEvent(counts.extraAttempts, now);
                        totals[second].second += 1;
                    }
                }
            }
        }
        for (std::size_t first = 0; first + 10 <= requestsPerSecond.size(); ++first) {
            double requests = 0;
            double retries = 0;
            for (std::size_t i = first; i < first + 10; ++i) {
                requests += totals[i].first;
                retries += totals[i].second;
            }
            // Retries may be counted against requests that arrived before the window, up to one window earlier.
            double requestsBefore = 0;
            for (std::size_t i = first >= 10 ? first - 10 : 0; i < first; ++i)
                requestsBefore += totals[i].first;
            double requestsAround = 0; // In a window that begins half a window earlier.
            for (std::size_t i = first >= 5 ? first - 5 : 0; i < first + 5; ++i)
                requestsAround += totals[i].first;
            RC_ASSERT(retries <= bounds.ratio * std::max({ requests, requestsBefore, requestsAround }) + bounds.slack);
        }
    });
}

TEST_CASE("events of seconds before the window are not counted, also after a long time without events")
{
    per_second_counts counts;
    const time_point start { seconds(1000) };
    countEvent(counts, start);
    countEvent(counts, start + seconds(3));
    CHECK(eventsWithin(counts, start + seconds(3), seconds(4)) == 2);
    CHECK(eventsWithin(counts, start + seconds(3), seconds(3)) == 1);
    CHECK(eventsWithin(counts, start + seconds(20), seconds(10)) == 0);
    countEvent(counts, start + seconds(1000));
    CHECK(eventsWithin(counts, start + seconds(1000), seconds(10)) == 1);
}

TEST_CASE("a cold endpoint gets at most the allowed number of requests within any second")
{
    recent_dispatches dispatches;
    time_point now { seconds(1000) };
    std::vector<time_point> sent;
    for (int i = 0; i < 400; ++i) {
        now += milliseconds(10);
        if (!maySendToCold(dispatches, 4.8, now))
            continue;
        dispatches.sentTimes.push_back(now);
        sent.push_back(now);
    }
    CHECK(sent.size() >= 12);
    for (std::size_t i = 4; i < sent.size(); ++i)
        CHECK(sent[i] - sent[i - 4] >= seconds(1));
}

TEST_CASE("consecutive failures eject an endpoint; after the ejection a success ends its trial and a failure ejects it for twice as long")
{
    endpoint_health health;
    const time_point now { seconds(1000) };
    CHECK_FALSE(recordSignal(health, health_signal::Failure, now));
    CHECK_FALSE(recordSignal(health, health_signal::Failure, now));
    CHECK(recordSignal(health, health_signal::Failure, now));
    CHECK(isEjected(health, now));
    const auto firstLength = health.ejectedUntil - now;
    const auto firstEnd = health.ejectedUntil;
    CHECK_FALSE(isEjected(health, firstEnd));
    CHECK(health.onTrial);
    CHECK(recordSignal(health, health_signal::Failure, firstEnd));
    CHECK(health.ejectedUntil - firstEnd == 2 * firstLength);
    CHECK_FALSE(recordSignal(health, health_signal::Success, health.ejectedUntil));
    CHECK_FALSE(health.onTrial);
}

TEST_CASE("an endpoint that fails half of its requests is ejected, one that fails one in twenty is not")
{
    const time_point now { seconds(1000) };
    endpoint_health refusing;
    bool ejected = false;
    for (int i = 0; i < 40; ++i)
        ejected = recordSignal(refusing, i % 2 == 0 ? health_signal::Refused : health_signal::Success, now) || ejected;
    CHECK(ejected);
    endpoint_health healthy;
    for (int i = 0; i < 400; ++i)
        CHECK_FALSE(recordSignal(healthy, i % 20 == 0 ? health_signal::Failure : health_signal::Success, now));
}

TEST_CASE("slowness follows measurements and decays without them")
{
    endpoint_health health;
    const time_point now { seconds(1000) };
    for (int i = 0; i < 10; ++i)
        recordLatency(health, milliseconds(500), milliseconds(100), now);
    CHECK(slownessAt(health, now) > 4);
    CHECK(slownessAt(health, now + seconds(20)) < 1.1);
}

TEST_CASE("limit: the quotas of all VMs add up to the total, whatever their weights, and follow them")
{
    rc::prop("for any weights", [] {
        const auto weights = *rc::gen::nonEmpty(rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 100U)));
        const auto total = *rc::gen::inRange(0U, 500U);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
        double before = 0;
        std::uint32_t given = 0;
        for (const double weight : weights) {
            const auto quota = quotaOf({ before, weight, sum }, total, seed);
            before += weight;
            given += quota;
            RC_ASSERT(std::abs(quota - total * weight / std::max(1.0, sum)) < 1.001);
        }
        RC_ASSERT(given <= total + 1);
        RC_ASSERT(sum == 0 || given + 1 >= total);
    });
    CHECK(quotaOf({ 1, 0, 1 }, 10, 1) == 0);
    CHECK(quotaOf({}, 10, 1) == 0);
}
