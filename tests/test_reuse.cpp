/** @file test_reuse.cpp For how long kept connections are used again. */
#include "reuse/reuse_func.h"

#include <catch2/catch.hpp>

using namespace lhub;

TEST_CASE("rest: without evidence a repeatable request uses any kept connection, another one only a recent one")
{
    const reuse_belief belief;
    const time_point now { seconds(1000) };
    CHECK(longestRest(belief, true, now) == milliseconds::max());
    CHECK(longestRest(belief, false, now) <= seconds(1));
}

static void forget(reuse_belief& belief, milliseconds rest, time_point now)
{
    noteForgotten(belief, "10.0.0.1:80", rest, now);
    noteAlive(belief, "10.0.0.1:80", now + milliseconds(100));
}

TEST_CASE("rest: a forgotten connection bounds the rest well below its own, for a while")
{
    reuse_belief belief;
    const time_point now { seconds(1000) };
    forget(belief, milliseconds(900), now);
    forget(belief, milliseconds(320), now);
    forget(belief, milliseconds(5000), now);
    CHECK(longestRest(belief, true, now) < milliseconds(320));
    CHECK(longestRest(belief, false, now) < milliseconds(320));
    CHECK(longestRest(belief, true, now + seconds(60)) == milliseconds::max());
    forget(belief, milliseconds(800), now + seconds(61));
    CHECK(longestRest(belief, true, now + seconds(61)) == milliseconds(400));
}

TEST_CASE("rest: connections to an endpoint that crashed say nothing about the rest")
{
    reuse_belief belief;
    const time_point now { seconds(1000) };
    noteForgotten(belief, "10.0.0.1:80", milliseconds(300), now);
    CHECK(longestRest(belief, true, now) == milliseconds::max());
    noteAlive(belief, "10.0.0.2:80", now);
    CHECK(longestRest(belief, true, now) == milliseconds::max());
    noteAlive(belief, "10.0.0.1:80", now + seconds(4)); // It was started again.
    CHECK(longestRest(belief, true, now + seconds(4)) == milliseconds::max());
}
