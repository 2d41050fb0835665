/** @file test_admit.cpp Admission of single requests. */
#include "admit/admit_func.h"

#include <catch2/catch.hpp>

using namespace lhub;

static const admit_rules Rules;

/** A request with an objective of 400 ms and a deadline of 2 s that has just arrived. */
static admit_question questionOf(double waitMs, double workMs) { return { waitMs, waitMs + workMs, 2000, 400, 400 }; }

TEST_CASE("admission: what can be on time is sent, however long it waits for a slot")
{
    CHECK(admitRequest(questionOf(0, 100), Rules) == admit_verdict::Send);
    CHECK(admitRequest(questionOf(290, 100), Rules) == admit_verdict::Send);
}

TEST_CASE("admission: slow work without a queue is sent, though it will be late")
{
    CHECK(admitRequest(questionOf(0, 900), Rules) == admit_verdict::Send);
    CHECK(admitRequest(questionOf(100, 900), Rules) == admit_verdict::Send);
}

TEST_CASE("admission: what would be late for the queue is refused, and what cannot meet its deadline")
{
    CHECK(admitRequest(questionOf(390, 100), Rules) == admit_verdict::Overload);
    CHECK(admitRequest(questionOf(0, 2100), Rules) == admit_verdict::Hopeless);
    auto late = questionOf(350, 100);
    late.budgetMs = 0; // It came back after a refusal.
    CHECK(admitRequest(late, Rules) == admit_verdict::Overload);
    late = questionOf(50, 100);
    late.budgetMs = 0;
    CHECK(admitRequest(late, Rules) == admit_verdict::Send);
}
