/** @file test_loss.cpp Causes of lost service: classification of attempts, and the report over logs. */
#include "loss/loss_func.h"
#include "report/loss_report.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace lhub;

/** An attempt that was expected to take 100 ms with the object cached, where an uncached one takes 400 ms. */
static attempt_forecast makeForecast(double actualMs) { return { true, 0, 100, actualMs, 100, 400, 0 }; }

TEST_CASE("loss: an attempt that took as long as an uncached one, although cached was expected, is told from a queue and a slow endpoint")
{
    CHECK_FALSE(tookUncachedTime(makeForecast(150)));
    CHECK(tookUncachedTime(makeForecast(390)));
    CHECK(causeOfLateAttempt(makeForecast(390), false) == loss_cause::NotCached);
    CHECK(causeOfLateAttempt(makeForecast(150), false) == loss_cause::Queued);
    CHECK(causeOfLateAttempt(makeForecast(900), false) == loss_cause::EndpointSlow);
    CHECK(causeOfLateAttempt(makeForecast(390), true) == loss_cause::Queued);
    auto uncached = makeForecast(390);
    uncached.expectedCached = false;
    CHECK(causeOfLateAttempt(uncached, false) == loss_cause::Uncached);
    auto remote = makeForecast(390);
    remote.networkMs = 110;
    remote.waitMs = 150; // The wait and the network explain the time.
    CHECK_FALSE(tookUncachedTime(remote));
}

TEST_CASE("loss: attempts are counted by the ratio of actual to expected time and by what was believed about the cache")
{
    loss_counts counts;
    countForecast(counts, makeForecast(100));
    countForecast(counts, makeForecast(390));
    countForecast(counts, makeForecast(5000));
    auto uncached = makeForecast(100);
    uncached.expectedCached = false;
    countForecast(counts, uncached);
    CHECK(counts.placedAsCached == 3);
    CHECK(counts.placedAsCachedWrongly == 2);
    CHECK(counts.cachedRatios == forecast_histogram { 0, 0, 1, 0, 0, 0, 1, 0, 1 });
    CHECK(counts.uncachedRatios == forecast_histogram { 0, 0, 1, 0, 0, 0, 0, 0, 0 });
}

static const char* const Log = R"(2026-12-04T10:00:07.100 event=start vm=v zone=z
2026-12-04T10:00:08.000 event=done id=1 service=s zone=z1 status=200 result=on_time cause=none after_ms=100
2026-12-04T10:00:08.500 event=done id=2 service=s zone=z1 status=200 result=late cause=not_cached after_ms=900
2026-12-04T10:00:09.000 event=answer id=3 route=r service=s status=503 reason="the queue is too long" cause=refused_for_queue zone=z2
prefix 2026-12-04T10:00:09.100 event=answer id=4 route=r service=t status=502 reason="no whole answer" cause=answer_lost zone=z2
2026-12-04T10:00:09.200 event=caller_gone id=5 service=t cause=caller_gone zone=z2 attempts=1
2026-12-04T10:00:09.300 event=answer id=6 host=h status=404 reason="no route" cause=not_ready zone=z2
no log line at all
)";

TEST_CASE("loss: the report counts each finished request once, by service, zone, second, result and cause")
{
    loss_report report;
    std::istringstream log(Log);
    addLog(report, log);
    CHECK(report.lines == 5);
    const auto s = sumCells(report, [](const loss_key& key) { return key.service == "s"; });
    CHECK(s.results == std::array<std::uint64_t, 4> { 1, 1, 1, 0 });
    CHECK(s.causes[static_cast<std::size_t>(loss_cause::NotCached)] == 1);
    CHECK(s.causes[static_cast<std::size_t>(loss_cause::RefusedForQueue)] == 1);
    const auto z2 = sumCells(report, [](const loss_key& key) { return key.zone == "z2"; });
    CHECK(z2.results == std::array<std::uint64_t, 4> { 0, 0, 1, 2 });
    CHECK(lossCsv(report).find("s,z1,1,1,1,0,0,1,") != std::string::npos);
    CHECK(lossText(report).find("5 requests") == 0);
    CHECK(lossSvg(report).find("second 1: not_cached 1") != std::string::npos);
}
