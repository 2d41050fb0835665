/** @file test_pool.cpp Slots, queue, health of endpoints, and credits of a pool. */
#include "pool/pool_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lhub;

static const time_point Start = time_point(seconds(100));

static pool_state makePool(int endpoints, std::uint32_t slots = 3)
{
    pool_state pool;
    pool.service = "s";
    pool.role = pool_role::Owner;
    pool.epoch = 1;
    for (int i = 0; i < endpoints; ++i) {
        auto& endpoint = pool.endpoints["e" + std::to_string(i)];
        endpoint.address = "10.0.0.1:80";
        endpoint.slots = slots;
        endpoint.cold = false;
    }
    return pool;
}

static acquire_request makeRequest(std::uint64_t id, std::uint32_t weight = 1)
{
    acquire_request request;
    request.callId = id;
    request.vm = "vm1";
    request.deadline = Start + seconds(2);
    request.weight = weight;
    return request;
}

static std::vector<acquire_answer> acquire(pool_state& pool, const acquire_request& request, time_point now = Start)
{
    std::vector<acquire_answer> answers;
    acquireSlot(pool, request, now, answers);
    return answers;
}

TEST_CASE("an endpoint never gets more requests than it has slots; further ones are queued")
{
    auto pool = makePool(2, 3);
    std::vector<std::uint64_t> held;
    for (std::uint64_t id = 1; id <= 6; ++id)
        held.push_back(acquire(pool, makeRequest(id)).at(0).reservation);
    CHECK(acquire(pool, makeRequest(7)).empty());
    CHECK(pool.endpoints["e0"].inflight == 3);
    CHECK(pool.endpoints["e1"].inflight == 3);
    releaseSlot(pool, held[0]);
    std::vector<acquire_answer> answers;
    serveQueue(pool, Start, answers);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].callId == 7);
    CHECK(answers[0].result == acquire_result::Granted);
}

TEST_CASE("the queue is bounded; requests of higher weight go first and displace the last one of lower weight")
{
    auto pool = makePool(1, 1);
    pool.limits.minQueueCapacity = 2;
    pool.limits.maxQueuedPerSlot = 2;
    acquire(pool, makeRequest(1));
    CHECK(acquire(pool, makeRequest(2)).empty());
    CHECK(acquire(pool, makeRequest(3)).empty());
    const auto refused = acquire(pool, makeRequest(4));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].result == acquire_result::Shed);
    const auto evicted = acquire(pool, makeRequest(5, 2));
    REQUIRE(evicted.size() == 1);
    CHECK(evicted[0].callId == 3);
    CHECK(pool.queue.front().callId == 5);
}

TEST_CASE("a new owner that counts all slots as unaccounted queues requests until probes report the slots free")
{
    auto pool = makePool(4, 3);
    markFreeSlotsUnaccounted(pool, Start);
    CHECK(usableSlots(pool, Start) == 0);
    for (std::uint64_t id = 1; id <= 24; ++id) {
        auto request = makeRequest(id);
        request.mayMove = true;
        CHECK(acquire(pool, request).empty());
    }
    for (int i = 0; i < 4; ++i)
        recordProbe(pool, "e" + std::to_string(i), false, 0, Start);
    std::vector<acquire_answer> answers;
    serveQueue(pool, Start, answers);
    CHECK(answers.size() == 12);
}

TEST_CASE("a request whose deadline passes while it is queued is refused and never granted")
{
    auto pool = makePool(1, 1);
    const auto first = acquire(pool, makeRequest(1)).at(0).reservation;
    CHECK(acquire(pool, makeRequest(2)).empty());
    releaseSlot(pool, first);
    std::vector<acquire_answer> answers;
    serveQueue(pool, Start + seconds(3), answers);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].result == acquire_result::Shed);
}

TEST_CASE("a release that arrives twice frees one slot")
{
    auto pool = makePool(1, 2);
    const auto first = acquire(pool, makeRequest(1)).at(0).reservation;
    acquire(pool, makeRequest(2));
    releaseSlot(pool, first);
    releaseSlot(pool, first);
    CHECK(pool.endpoints["e0"].inflight == 1);
    CHECK(pool.localInflight == 1);
}

TEST_CASE("a reservation that is never released expires a grace time after its deadline")
{
    auto pool = makePool(1, 1);
    acquire(pool, makeRequest(1));
    std::vector<acquire_answer> answers;
    serveQueue(pool, Start + seconds(2), answers);
    CHECK(pool.endpoints["e0"].inflight == 1);
    serveQueue(pool, Start + seconds(3), answers);
    CHECK(pool.endpoints["e0"].inflight == 0);
}

TEST_CASE("the slots of a cold endpoint are opened one by one")
{
    auto pool = makePool(1, 3);
    pool.endpoints["e0"].cold = true;
    CHECK(acquire(pool, makeRequest(1)).size() == 1);
    CHECK(acquire(pool, makeRequest(2)).empty());
    std::vector<acquire_answer> answers;
    serveQueue(pool, Start + milliseconds(1000), answers);
    CHECK(answers.size() == 1);
}

TEST_CASE("an endpoint is ejected only after failures from two sources, and only a third of the pool at once")
{
    auto pool = makePool(3);
    for (int i = 0; i < 10; ++i)
        recordEndpointResult(pool, "e0", true, "vm1", Start);
    CHECK(pool.endpoints["e0"].ejectedUntil == time_point {});
    recordEndpointResult(pool, "e0", true, "probe", Start);
    CHECK(pool.endpoints["e0"].ejectedUntil > Start);
    for (int i = 0; i < 10; ++i) {
        recordEndpointResult(pool, "e1", true, "vm1", Start);
        recordEndpointResult(pool, "e1", true, "vm2", Start);
    }
    CHECK(pool.endpoints["e1"].ejectedUntil == time_point {});
    CHECK(usableSlots(pool, Start) == 6);
}

TEST_CASE("a probe that reports less load than reserved frees no slot; one that reports leaving closes the endpoint")
{
    auto pool = makePool(1, 3);
    acquire(pool, makeRequest(1));
    recordProbe(pool, "e0", false, 0, Start);
    CHECK(pool.endpoints["e0"].inflight == 1);
    recordProbe(pool, "e0", true, 0, Start);
    CHECK(usableSlots(pool, Start) == 0);
}

TEST_CASE("credits to all zones together leave the reserve and the local demand free")
{
    auto pool = makePool(10, 3);
    pool.localDemandPeak = 10;
    CHECK(lendCredit(pool, "b", 100, Start) == 17);
    CHECK(lendCredit(pool, "c", 100, Start) == 0);
    CHECK(lendCredit(pool, "c", 100, Start + pool.limits.creditLifetime) == 17);
}

TEST_CASE("a lowered credit takes effect at the granter only after the higher one has expired")
{
    auto pool = makePool(10, 3);
    CHECK(lendCredit(pool, "b", 20, Start) == 20);
    CHECK(lendCredit(pool, "b", 5, Start + milliseconds(100)) == 5);
    CHECK(unexpiredCredit(pool.creditsLent["b"], Start + milliseconds(200)) == 20);
    CHECK(unexpiredCredit(pool.creditsLent["b"], Start + milliseconds(2050)) == 5);
}

TEST_CASE("a credit expires at its holder before it expires at the granter")
{
    auto granter = makePool(10, 3);
    auto holder = makePool(1, 1);
    const auto granted = lendCredit(granter, "b", 4, Start + milliseconds(55));
    recordCredit(holder, "a", granted, granter.limits.creditLifetime, Start);
    const auto nearEnd = Start + milliseconds(1800);
    CHECK_FALSE(reserveCredit(holder, "a", makeRequest(1), nearEnd));
    CHECK(unexpiredCredit(granter.creditsLent["b"], nearEnd) == 4);
    CHECK(reserveCredit(holder, "a", makeRequest(1), Start + milliseconds(1000)));
}

TEST_CASE("a reply to an older credit request that arrives late does not replace the newer credit")
{
    auto holder = makePool(1, 1);
    recordCredit(holder, "a", 2, seconds(2), Start + milliseconds(500));
    recordCredit(holder, "a", 9, seconds(2), Start);
    CHECK(holder.creditsHeld["a"].amount == 2);
}

/**
 * Acquires, loans of credit, releases and the passing of time in random order never exceed the slots of an endpoint,
 * the lendable part of the pool or the capacity of the queue, and every reservation is counted once.
 */
TEST_CASE("property: slots, credits and queue stay within their limits under random events")
{
    const bool held = rc::check("pool invariants", [] {
        auto pool = makePool(3, 3);
        auto now = Start;
        std::vector<std::uint64_t> granted;
        std::uint64_t id = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 8));
        for (const auto step : steps) {
            std::vector<acquire_answer> answers;
            auto request = makeRequest(++id);
            request.deadline = now + milliseconds(700);
            if (step >= 4 && step <= 5)
                request.sourceZone = step == 4 ? "b" : "c";
            if (step <= 5 && step != 3)
                acquireSlot(pool, request, now, answers);
            if (step == 3)
                lendCredit(pool, id % 2 == 0 ? "b" : "c", static_cast<std::uint32_t>(id % 9), now);
            if (step == 6 && !granted.empty()) {
                releaseSlot(pool, granted.back());
                granted.pop_back();
            }
            if (step == 7) {
                now += milliseconds(300);
                serveQueue(pool, now, answers);
            }
            for (const auto& answer : answers) {
                if (answer.result == acquire_result::Granted)
                    granted.push_back(answer.reservation);
            }
            std::uint32_t inflight = 0;
            for (const auto& [name, endpoint] : pool.endpoints) {
                RC_ASSERT(endpoint.inflight <= endpoint.slots);
                inflight += endpoint.inflight;
            }
            std::uint32_t lent = 0;
            for (const auto& [zone, credit] : pool.creditsLent)
                lent += unexpiredCredit(credit, now);
            RC_ASSERT(lent + 1 <= usableSlots(pool, now));
            RC_ASSERT(inflight == pool.reservations.size());
            RC_ASSERT(pool.queue.size() <= 18);
        }
    });
    CHECK(held);
}
