/** @file test_idle_connection.cpp For how long idle connections may be reused. */
#include "idle_connection/idle_connection_func.h"

#include <catch2/catch.hpp>

using namespace lhub;

TEST_CASE("connection reuse: before any stale connection, repeatable requests reuse every connection and others only recently used ones")
{
    const idle_connection_state estimate;
    const time_point now { seconds(1000) };
    CHECK(maxIdleTime(estimate, true, now) == milliseconds::max());
    CHECK(maxIdleTime(estimate, false, now) <= seconds(1));
}

/** A stale connection to an endpoint that responds 100 ms later. */
static void recordStale(idle_connection_state& estimate, milliseconds idleFor, time_point now)
{
    recordStaleConnection(estimate, "10.0.0.1:80", idleFor, now);
    recordLiveConnection(estimate, "10.0.0.1:80", now + milliseconds(100));
}

TEST_CASE("connection reuse: a stale connection limits the idle time well below its own, until the evidence expires")
{
    idle_connection_state estimate;
    const time_point now { seconds(1000) };
    recordStale(estimate, milliseconds(900), now);
    recordStale(estimate, milliseconds(320), now);
    recordStale(estimate, milliseconds(5000), now);
    CHECK(maxIdleTime(estimate, true, now) < milliseconds(320));
    CHECK(maxIdleTime(estimate, false, now) < milliseconds(320));
    CHECK(maxIdleTime(estimate, true, now + seconds(60)) == milliseconds::max());
    recordStale(estimate, milliseconds(800), now + seconds(61));
    CHECK(maxIdleTime(estimate, true, now + seconds(61)) == milliseconds(400));
}

TEST_CASE("connection reuse: connections to an endpoint that crashed do not limit the idle time")
{
    idle_connection_state estimate;
    const time_point now { seconds(1000) };
    recordStaleConnection(estimate, "10.0.0.1:80", milliseconds(300), now);
    CHECK(maxIdleTime(estimate, true, now) == milliseconds::max());
    recordLiveConnection(estimate, "10.0.0.2:80", now);
    CHECK(maxIdleTime(estimate, true, now) == milliseconds::max());
    recordLiveConnection(estimate, "10.0.0.1:80", now + seconds(4)); // It was restarted.
    CHECK(maxIdleTime(estimate, true, now + seconds(4)) == milliseconds::max());
}
