/** @file test_lookup.cpp Which entry VMs the responses to look-ups name, and how callers spread over them. */
#include "lookup/lookup_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace lhub;

/** Names of @p count VMs. */
static std::vector<std::string> namesOf(unsigned count)
{
    std::vector<std::string> names;
    for (unsigned i = 0; i < count; ++i)
        names.push_back("vm-" + std::to_string(i));
    return names;
}

/** The VMs as candidates: the first @p largeCount with the given capacity, the others with 100 requests per second. */
static std::vector<lookup_candidate> candidatesOf(const std::vector<std::string>& names, unsigned largeCount, std::uint32_t largeCapacity)
{
    std::vector<lookup_candidate> candidates;
    for (std::size_t i = 0; i < names.size(); ++i)
        candidates.push_back({ names[i], names[i], i < largeCount ? largeCapacity : 100 });
    return candidates;
}

/** Fraction of the callers that each VM gets if all VMs answer equally many look-ups and callers choose from the response at random. */
static std::vector<double> callerFractions(const std::vector<lookup_candidate>& candidates)
{
    std::vector<double> fractions(candidates.size());
    for (const auto& answerer : candidates) {
        const auto named = chooseNamedVms(answerer.vm, candidates);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (std::find(named.begin(), named.end(), candidates[i].ip) != named.end())
                fractions[i] += 1.0 / static_cast<double>(named.size() * candidates.size());
        }
    }
    return fractions;
}

TEST_CASE("look-ups: the scarcer of processor and link bounds the capacity of a VM")
{
    CHECK(requestsPerSecondOf({ 0.5, 200 }) > requestsPerSecondOf({ 0.1, 200 }));
    CHECK(requestsPerSecondOf({ 0.5, 200 }) > requestsPerSecondOf({ 0.5, 10 }));
    CHECK(requestsPerSecondOf({ 0.5, 10 }) == requestsPerSecondOf({ 4, 10 }));
    CHECK(requestsPerSecondOf({ 1e-9, 1e-9 }) == 1);
}

TEST_CASE("look-ups: equal VMs are all named")
{
    const auto names = namesOf(12);
    CHECK(chooseNamedVms("vm-3", candidatesOf(names, 0, 0)).size() == 12);
}

TEST_CASE("look-ups: callers spread over VMs of different sizes by capacity")
{
    // 4 large VMs with 20 times the capacity of each of 16 small ones. Spread evenly, the small ones would get 0.8 of the callers with 0.17 of the capacity.
    const auto names = namesOf(20);
    const auto candidates = candidatesOf(names, 4, 2000);
    const auto fractions = callerFractions(candidates);
    double smallFraction = 0;
    for (std::size_t i = 4; i < fractions.size(); ++i) {
        smallFraction += fractions[i];
        CHECK(fractions[i] < 0.05); // A small VM has a twentieth of the capacity of a large one.
    }
    CHECK(smallFraction < 0.3);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(fractions[i] > 0.17);
}

TEST_CASE("look-ups: responses change only with the VMs, and name neither too few nor too many")
{
    rc::prop("named VMs", [] {
        const auto count = *rc::gen::inRange(1U, 200U);
        const auto large = *rc::gen::inRange(0U, count + 1);
        const auto names = namesOf(count);
        auto candidates = candidatesOf(names, large, *rc::gen::inRange(1U, 5000U));
        const auto named = chooseNamedVms("vm-0", candidates);
        RC_ASSERT(named == chooseNamedVms("vm-0", candidates));
        RC_ASSERT(named.size() >= std::min<std::size_t>(count, MinNamedVms));
        RC_ASSERT(named.size() <= MaxNamedVms);
        // A VM that is added displaces at most one other, unless it is the largest.
        const std::string added = "vm-more";
        candidates.push_back({ added, added, 1 });
        const auto after = chooseNamedVms("vm-0", candidates);
        std::size_t lost = 0;
        for (const auto& ip : named)
            lost += std::find(after.begin(), after.end(), ip) == after.end() ? 1 : 0;
        RC_ASSERT(lost <= 1);
    });
}
