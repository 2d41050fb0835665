/** @file test_shift.cpp Shifts: fraction, cap, ramp, age of the configuration, and loans between zones. */
#include "shift/shift_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lhub;

static const time_point Start = time_point(seconds(100));

static shift_config makeConfig(std::uint32_t permille, std::uint32_t cap)
{
    shift_config config;
    config.name = "move";
    config.service = "s";
    config.fromRegion = "r";
    config.toRegion = "q";
    config.permille = permille;
    config.capPerSecond = cap;
    config.zones = { "a", "b" };
    return config;
}

/** A shift that has run in zone "a" for long enough to use its whole share. */
static shift_progress makeShift(std::uint32_t permille, std::uint32_t cap)
{
    shift_progress shift;
    configureShift(shift, makeConfig(permille, cap), "a", Start - seconds(100));
    return shift;
}

/** Records the arrival of one request. @return whether it moves. */
static bool arrive(shift_progress& shift, time_point now, milliseconds age = milliseconds(0))
{
    recordArrival(shift, now);
    if (!isMoveDue(shift, age, now))
        return false;
    recordMove(shift, now);
    return true;
}

TEST_CASE("a shift moves exactly its fraction of the requests, and never more at any time")
{
    auto shift = makeShift(250, 1'000'000);
    for (int i = 1; i <= 1000; ++i) {
        arrive(shift, Start + milliseconds(i));
        CHECK(shift.moved * 1000 <= static_cast<std::uint64_t>(i) * 250);
    }
    CHECK(shift.moved == 250);
}

TEST_CASE("the shares of all zones together are at most the cap")
{
    const auto config = makeConfig(1000, 41);
    CHECK(zoneShare(config, "a") + zoneShare(config, "b") == 40);
    CHECK(zoneShare(config, "c") == 0);
}

TEST_CASE("nothing moves once the store's last confirmation is too old")
{
    auto shift = makeShift(1000, 100);
    CHECK(arrive(shift, Start));
    CHECK_FALSE(arrive(shift, Start, shift.limits.maxConfirmationAge));
}

TEST_CASE("a raised share is used only once no zone can use an older configuration; a lowered one applies at once")
{
    auto shift = makeShift(1000, 20);
    configureShift(shift, makeConfig(1000, 100), "a", Start);
    int moved = 0;
    for (int i = 0; i < 200; ++i)
        moved += arrive(shift, Start) ? 1 : 0;
    CHECK(moved == 10);
    CHECK(shift.limits.shareChangeDelay > shift.limits.maxConfirmationAge);
    moved = 0;
    for (int i = 0; i < 200; ++i)
        moved += arrive(shift, Start + shift.limits.shareChangeDelay) ? 1 : 0;
    CHECK(moved == 50);
    configureShift(shift, makeConfig(1000, 4), "a", Start + seconds(20));
    moved = 0;
    for (int i = 0; i < 200; ++i)
        moved += arrive(shift, Start + seconds(21)) ? 1 : 0;
    CHECK(moved == 2);
}

TEST_CASE("a paused shift moves nothing, and a new owner waits before it moves anything")
{
    auto shift = makeShift(1000, 100);
    auto paused = makeConfig(1000, 100);
    paused.status = shift_status::Paused;
    configureShift(shift, paused, "a", Start);
    CHECK_FALSE(arrive(shift, Start));
    auto running = makeShift(1000, 100);
    resetShift(running, Start);
    CHECK_FALSE(arrive(running, Start + seconds(1)));
    CHECK(arrive(running, Start + running.limits.shareChangeDelay));
}

TEST_CASE("during the ramp only a part of the fraction moves")
{
    auto shift = makeShift(1000, 1'000'000);
    shift.config.rampSeconds = 100;
    shift.rampStart = Start;
    int early = 0;
    for (int i = 0; i < 100; ++i)
        early += arrive(shift, Start + seconds(10)) ? 1 : 0;
    CHECK(early == 10);
}

TEST_CASE("property: no window of a second holds more moves than the share, across changes of the cap and of the owner")
{
    const bool held = rc::check("cap in any window", [] {
        auto shift = makeShift(1000, 20);
        auto now = Start;
        std::deque<time_point> moves;
        std::uint32_t highest = 10;
        const auto gaps = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 60));
        for (const auto gap : gaps) {
            now += milliseconds(gap);
            if (gap == 59) {
                shift.moved = 0;
                resetShift(shift, now);
            }
            if (gap == 58)
                configureShift(shift, makeConfig(1000, 10), "a", now);
            if (arrive(shift, now))
                moves.push_back(now);
            while (!moves.empty() && now - moves.front() >= shift.limits.window)
                moves.pop_front();
            RC_ASSERT(moves.size() <= highest);
        }
    });
    CHECK(held);
}

TEST_CASE("a lender keeps its recent peak demand, and counts a loan for one window longer than the borrower uses it")
{
    auto lender = makeShift(1000, 20);
    lender.peakDemand = 3;
    CHECK(lendShare(lender, "b", 20, 20, Start) == 7);
    CHECK(lendShare(lender, "c", 20, 20, Start) == 0);
    CHECK(usableShare(lender, Start) == 3);
    const auto end = Start + lender.limits.loanLifetime;
    CHECK(usableShare(lender, end) == 3);
    CHECK(usableShare(lender, end + lender.limits.window) == 10);
}

TEST_CASE("a loan expires at the borrower before it does at the lender, ends with a changed cap, and ignores an older answer")
{
    auto borrower = makeShift(1000, 20);
    recordLoan(borrower, "b", { 5, Start + seconds(2) }, 20, Start);
    CHECK(usableShare(borrower, Start + milliseconds(1790)) == 15);
    CHECK(usableShare(borrower, Start + milliseconds(1800)) == 10);
    recordLoan(borrower, "b", { 9, Start + seconds(1) }, 20, Start - seconds(1));
    CHECK(usableShare(borrower, Start) == 15);
    configureShift(borrower, makeConfig(1000, 10), "a", Start);
    CHECK(usableShare(borrower, Start) == 5);
    recordLoan(borrower, "b", { 9, Start + seconds(2) }, 20, Start);
    CHECK(usableShare(borrower, Start) == 5);
}

TEST_CASE("nothing is lent by a new owner, under another cap, or by a paused shift")
{
    auto lender = makeShift(1000, 20);
    CHECK(lendShare(lender, "b", 5, 30, Start) == 0);
    resetShift(lender, Start);
    CHECK(lendShare(lender, "b", 5, 20, Start) == 0);
    auto paused = makeShift(1000, 20);
    paused.config.status = shift_status::Paused;
    CHECK(lendShare(paused, "b", 5, 20, Start) == 0);
}

TEST_CASE("property: two zones that lend shares to each other never move more than the cap in any second")
{
    const bool held = rc::check("loans and the cap", [] {
        std::array<shift_progress, 2> zones { makeShift(1000, 20), shift_progress {} };
        configureShift(zones[1], makeConfig(1000, 20), "b", Start - seconds(100));
        const std::array<std::string, 2> names { "a", "b" };
        std::deque<time_point> moves;
        auto now = Start;
        const auto steps = *rc::gen::container<std::vector<int>>(600, rc::gen::inRange(0, 100));
        for (const auto step : steps) {
            now += milliseconds(step % 40);
            const std::size_t zone = step % 7 < 5 ? 0 : 1;
            if (step >= 96) {
                const auto sentAt = now;
                const auto granted = lendShare(zones[1 - zone], names[zone], 20, 20, now);
                now += milliseconds(step % 3 * 60);
                if (step != 99)
                    recordLoan(zones[zone], names[1 - zone], { granted, sentAt + seconds(2) }, 20, sentAt);
            }
            if (step == 95)
                resetShift(zones[zone], now);
            if (arrive(zones[zone], now))
                moves.push_back(now);
            nextLoanRequest(zones[zone], now);
            while (!moves.empty() && now - moves.front() >= seconds(1))
                moves.pop_front();
            RC_ASSERT(moves.size() <= 20);
        }
    });
    CHECK(held);
}
