/** @file test_burn_rate.cpp Tests of burn rates over pairs of windows. */
#include "burn_rate/burn_rate_func.h"

#include <catch2/catch.hpp>

using namespace lhub;

static const time_point Start = time_point(std::chrono::hours(100));

TEST_CASE("a window without events is reported as no data, not as free of errors")
{
    const burn_objective objective { 999, 1000 };
    CHECK(evaluateBurn({ 0, 0 }, { 0, 0 }, BurnPairs[0], objective) == burn_state::NoData);
    CHECK(evaluateBurn({ 100, 0 }, { 10, 0 }, BurnPairs[0], objective) == burn_state::Quiet);
}

TEST_CASE("an alarm needs both windows to reach the threshold")
{
    const burn_objective objective { 990, 1000 };
    CHECK(burnRate({ 80, 20 }, objective) == Approx(20));
    CHECK(evaluateBurn({ 80, 20 }, { 80, 20 }, BurnPairs[0], objective) == burn_state::Burning);
    CHECK(evaluateBurn({ 80, 20 }, { 100, 0 }, BurnPairs[0], objective) == burn_state::Quiet);
    CHECK(evaluateBurn({ 990, 10 }, { 0, 10 }, BurnPairs[0], objective) == burn_state::Quiet);
}

TEST_CASE("events leave a window with time, count with their weight, and buckets are reused after six hours")
{
    burn_series series;
    noteEvent(series, false, 2, Start);
    noteEvent(series, true, 1, Start + std::chrono::minutes(10));
    const auto now = Start + std::chrono::minutes(10);
    CHECK(sumEvents(series, std::chrono::minutes(60), now).bad == 2);
    CHECK(sumEvents(series, std::chrono::minutes(5), now).bad == 0);
    noteEvent(series, true, 1, Start + std::chrono::minutes(360));
    CHECK(sumEvents(series, std::chrono::minutes(360), Start + std::chrono::minutes(360)).bad == 0);
    CHECK(sumEvents(series, std::chrono::minutes(360), Start + std::chrono::minutes(360)).good == 2);
}

TEST_CASE("the time until the budget is used up follows from the burn rate")
{
    CHECK(hoursToExhaustion(14.4) == Approx(50));
    CHECK(hoursToExhaustion(0) < 0);
}
