/** @file test_distance.cpp Round trips to regions, learned from connects. */
#include "distance/distance_func.h"

#include <catch2/catch.hpp>

using namespace lhub;

static region_distances makeDistances() { return { "own", {} }; }

TEST_CASE("distance: the round trip follows the connects, and the time-out of a connect follows the round trip")
{
    auto distances = makeDistances();
    CHECK(connectTimeoutTo(distances, "far") == milliseconds(1000)); // Nothing is known yet: a far region must be reachable.
    for (int i = 0; i < 20; ++i)
        recordConnect(distances, "far", milliseconds(300));
    CHECK(roundTripTo(distances, "far") == Approx(300));
    CHECK(connectTimeoutTo(distances, "far") == milliseconds(730));
    CHECK(connectTimeoutTo(distances, "own") == milliseconds(150));
    CHECK(roundTripTo(distances, "own") == Approx(0));
}

TEST_CASE("distance: one slow connect changes the round trip little, and faster ones are believed soon")
{
    auto distances = makeDistances();
    recordConnect(distances, "far", milliseconds(70));
    recordConnect(distances, "far", milliseconds(270)); // A lost packet.
    CHECK(roundTripTo(distances, "far") < 85);
    recordConnect(distances, "far", milliseconds(20));
    CHECK(roundTripTo(distances, "far") < 65);
}

TEST_CASE("distance: time-outs of connects raise the next time-out until a region that moved away is reached, up to a bound")
{
    auto distances = makeDistances();
    recordConnect(distances, "far", milliseconds(20));
    int timeouts = 0;
    while (connectTimeoutTo(distances, "far") < milliseconds(400) && timeouts < 100) {
        recordConnectTimeout(distances, "far");
        ++timeouts;
    }
    CHECK(timeouts < 30);
    for (int i = 0; i < 100; ++i)
        recordConnectTimeout(distances, "far");
    CHECK(connectTimeoutTo(distances, "far") == milliseconds(1000));
    auto unknown = makeDistances();
    recordConnectTimeout(unknown, "far"); // Changes nothing before the first connect.
    CHECK(connectTimeoutTo(unknown, "far") == milliseconds(1000));
}
