/** @file test_lookup.cpp Which entry VMs look-ups name, and how callers spread over them. */
#include "lookup/lookup_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace lhub;

/** VMs of a region: some large ones and some small ones. */
static std::vector<std::string> namesOf(unsigned count)
{
    std::vector<std::string> names;
    for (unsigned i = 0; i < count; ++i)
        names.push_back("vm-" + std::to_string(i));
    return names;
}

static std::vector<lookup_candidate> candidatesOf(const std::vector<std::string>& names, unsigned large, std::uint32_t carries)
{
    std::vector<lookup_candidate> candidates;
    for (std::size_t i = 0; i < names.size(); ++i)
        candidates.push_back({ names[i], names[i], i < large ? carries : 100 });
    return candidates;
}

/** Part of the callers that each VM gets when all VMs answer look-ups alike and callers draw from the answer. */
static std::vector<double> spreadOver(const std::vector<lookup_candidate>& candidates)
{
    std::vector<double> parts(candidates.size());
    for (const auto& answerer : candidates) {
        const auto named = nameVms(answerer.vm, candidates);
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (std::find(named.begin(), named.end(), candidates[i].ip) != named.end())
                parts[i] += 1.0 / static_cast<double>(named.size() * candidates.size());
        }
    }
    return parts;
}

TEST_CASE("look-ups: the processor or the link bounds what a VM carries, whichever is scarcer")
{
    CHECK(carriedBy({ 0.5, 200 }) > carriedBy({ 0.1, 200 }));
    CHECK(carriedBy({ 0.5, 200 }) > carriedBy({ 0.5, 10 }));
    CHECK(carriedBy({ 0.5, 10 }) == carriedBy({ 4, 10 }));
    CHECK(carriedBy({ 1e-9, 1e-9 }) == 1);
}

TEST_CASE("look-ups: equal VMs are all named")
{
    const auto names = namesOf(12);
    CHECK(nameVms("vm-3", candidatesOf(names, 0, 0)).size() == 12);
}

TEST_CASE("look-ups: callers spread over unequal VMs by what each carries")
{
    // A region of 4 large and 16 small VMs, 20 to 1: evenly, the small ones would get 0.8 of the callers with 0.17 of the room.
    const auto names = namesOf(20);
    const auto candidates = candidatesOf(names, 4, 2000);
    const auto parts = spreadOver(candidates);
    double small = 0;
    for (std::size_t i = 4; i < parts.size(); ++i) {
        small += parts[i];
        CHECK(parts[i] < 0.05); // No small one gets what would fill it: a twentieth of a large one's room.
    }
    CHECK(small < 0.3);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(parts[i] > 0.17);
}

TEST_CASE("look-ups: answers do not change while the VMs stay, name enough VMs and never too many")
{
    rc::prop("named", [] {
        const auto count = *rc::gen::inRange(1U, 200U);
        const auto large = *rc::gen::inRange(0U, count + 1);
        const auto names = namesOf(count);
        auto candidates = candidatesOf(names, large, *rc::gen::inRange(1U, 5000U));
        const auto named = nameVms("vm-0", candidates);
        RC_ASSERT(named == nameVms("vm-0", candidates));
        RC_ASSERT(named.size() >= std::min<std::size_t>(count, LeastNamed));
        RC_ASSERT(named.size() <= MostNamed);
        // One more VM lets at most one other go, unless it is the largest.
        const std::string more = "vm-more";
        candidates.push_back({ more, more, 1 });
        const auto after = nameVms("vm-0", candidates);
        std::size_t lost = 0;
        for (const auto& ip : named)
            lost += std::find(after.begin(), after.end(), ip) == after.end() ? 1 : 0;
        RC_ASSERT(lost <= 1);
    });
}
