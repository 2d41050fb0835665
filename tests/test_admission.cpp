/** @file test_admission.cpp Admission of single requests. */
#include "admission/admission_func.h"

#include <catch2/catch.hpp>

using namespace lhub;

static const admission_settings Rules;

/** A request with an objective of 400 ms and a deadline of 2 s that has just arrived. */
static admit_query makeQuery(double waitMs, double processingMs) { return { waitMs, waitMs + processingMs, 2000, 400, 400 }; }

TEST_CASE("admission: a request that can be on time is sent, however long it waits for a slot")
{
    CHECK(admitRequest(makeQuery(0, 100), Rules) == admit_decision::Send);
    CHECK(admitRequest(makeQuery(290, 100), Rules) == admit_decision::Send);
}

TEST_CASE("admission: a slow request without a long queue is sent, although it will be late")
{
    CHECK(admitRequest(makeQuery(0, 900), Rules) == admit_decision::Send);
    CHECK(admitRequest(makeQuery(100, 900), Rules) == admit_decision::Send);
}

TEST_CASE("admission: a request is refused when it would be late because of the queue, or cannot meet its deadline")
{
    CHECK(admitRequest(makeQuery(390, 100), Rules) == admit_decision::QueueTooLong);
    CHECK(admitRequest(makeQuery(0, 2100), Rules) == admit_decision::DeadlineUnreachable);
    auto late = makeQuery(350, 100);
    late.objectiveLeftMs = 0; // The objective passed during an earlier attempt, which was refused.
    CHECK(admitRequest(late, Rules) == admit_decision::QueueTooLong);
    late = makeQuery(50, 100);
    late.objectiveLeftMs = 0;
    CHECK(admitRequest(late, Rules) == admit_decision::Send);
}
