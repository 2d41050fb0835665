/** @file test_reuse.cpp For how long idle connections may be reused. */
#include "reuse/reuse_func.h"

#include <catch2/catch.hpp>

using namespace lhub;

TEST_CASE("connection reuse: before any stale connection, repeatable requests reuse every connection and others only recently used ones")
{
    const reuse_belief estimate;
    const time_point now { seconds(1000) };
    CHECK(longestRest(estimate, true, now) == milliseconds::max());
    CHECK(longestRest(estimate, false, now) <= seconds(1));
}

/** A stale connection to an endpoint that responds 100 ms later. */
static void recordStale(reuse_belief& estimate, milliseconds idleFor, time_point now)
{
    noteForgotten(estimate, "10.0.0.1:80", idleFor, now);
    noteAlive(estimate, "10.0.0.1:80", now + milliseconds(100));
}

TEST_CASE("connection reuse: a stale connection limits the idle time well below its own, until the evidence expires")
{
    reuse_belief estimate;
    const time_point now { seconds(1000) };
    recordStale(estimate, milliseconds(900), now);
    recordStale(estimate, milliseconds(320), now);
    recordStale(estimate, milliseconds(5000), now);
    CHECK(longestRest(estimate, true, now) < milliseconds(320));
    CHECK(longestRest(estimate, false, now) < milliseconds(320));
    CHECK(longestRest(estimate, true, now + seconds(60)) == milliseconds::max());
    recordStale(estimate, milliseconds(800), now + seconds(61));
    CHECK(longestRest(estimate, true, now + seconds(61)) == milliseconds(400));
}

TEST_CASE("connection reuse: connections to an endpoint that crashed do not limit the idle time")
{
    reuse_belief estimate;
    const time_point now { seconds(1000) };
    noteForgotten(estimate, "10.0.0.1:80", milliseconds(300), now);
    CHECK(longestRest(estimate, true, now) == milliseconds::max());
    noteAlive(estimate, "10.0.0.2:80", now);
    CHECK(longestRest(estimate, true, now) == milliseconds::max());
    noteAlive(estimate, "10.0.0.1:80", now + seconds(4)); // It was restarted.
    CHECK(longestRest(estimate, true, now + seconds(4)) == milliseconds::max());
}
