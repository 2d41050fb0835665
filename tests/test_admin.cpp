/** @file test_admin.cpp Operators' changes and claims of idempotency keys, with lost replies and concurrent writes. */
#include "admin/command_func.h"
#include "key_claim/key_claim_func.h"
#include "memory_store.h"

#include <catch2/catch.hpp>

using namespace lhub;

static change_meta makeMeta(const std::string& id, std::uint64_t expected)
{
    return { "ann", "test", id, false, expected };
}

static change_reply execute(memory_store& store, const change_command& command)
{
    change_reply result;
    executeChange(store, command, store.present(storeKey(command.key)),
        [&](change_reply reply) { result = std::move(reply); });
    return result;
}

static change_command makeRegionChange(const std::string& region, const change_meta& meta)
{
    return testPlace({}, { "a", region }, meta);
}

TEST_CASE("a change with an id that was executed before is accepted without a second write")
{
    memory_store store;
    const auto first = execute(store, makeRegionChange("r", makeMeta("c1", 0)));
    CHECK(first.result == change_result::Accepted);
    const auto again = execute(store, makeRegionChange("r", makeMeta("c1", 0)));
    CHECK(again.result == change_result::Accepted);
    CHECK(again.version == first.version);
    CHECK(store.writes == 1);
}

TEST_CASE("a write whose reply is lost is confirmed by a read and not repeated")
{
    memory_store store;
    store.loseReplies = 1;
    const auto reply = execute(store, makeRegionChange("r", makeMeta("c1", 0)));
    CHECK(reply.result == change_result::Accepted);
    CHECK(store.writes == 1);
}

TEST_CASE("after a lost reply and a failed read the result is unknown; a repetition with the same change id is accepted")
{
    memory_store store;
    store.loseReplies = 1;
    store.readsToFail = 1;
    CHECK(execute(store, makeRegionChange("r", makeMeta("c1", 0))).result == change_result::Unknown);
    CHECK(execute(store, makeRegionChange("r", makeMeta("c1", 0))).result == change_result::Accepted);
    CHECK(store.writes == 1);
}

TEST_CASE("of two concurrent changes of an object one is written; the other gets a conflict and the current object")
{
    memory_store store;
    execute(store, makeRegionChange("r", makeMeta("c1", 0)));
    const auto version = store.present("config/place/a").version;
    store.beforeWrite = [&] { execute(store, makeRegionChange("bob", makeMeta("c2", version))); };
    const auto reply = execute(store, makeRegionChange("ann", makeMeta("c3", version)));
    CHECK(reply.result == change_result::Conflict);
    CHECK(reply.present.value.find("bob") != std::string::npos);
    CHECK(store.present("config/place/a").value.find("bob") != std::string::npos);
}

TEST_CASE("a conflict is reported also if the reply to the other operator's write was lost")
{
    memory_store store;
    execute(store, makeRegionChange("r", makeMeta("c1", 0)));
    const auto version = store.present("config/place/a").version;
    store.beforeWrite = [&] { execute(store, makeRegionChange("bob", makeMeta("c2", version))); };
    store.loseReplies = 1;
    CHECK(execute(store, makeRegionChange("ann", makeMeta("c3", version))).result == change_result::Conflict);
}

TEST_CASE("with validate-only nothing is written and faults are reported")
{
    memory_store store;
    auto meta = makeMeta("c1", 0);
    meta.validateOnly = true;
    CHECK(execute(store, makeRegionChange("r", meta)).result == change_result::Valid);
    CHECK(execute(store, makeRegionChange("No Region", meta)).result == change_result::Invalid);
    CHECK(store.writes == 0);
}

static config_view makeView()
{
    config_view view;
    view.services["s"].name = "s";
    view.places["a"] = { "a", "r" };
    view.places["b"] = { "b", "r" };
    view.places["c"] = { "c", "q" };
    return view;
}

TEST_CASE("validation of a shift sets the zones that share its cap and reports faults by field")
{
    const auto view = makeView();
    const shift_config good { "m", "s", "r", "q", 500, 10, shift_status::Running, 0, {} };
    const auto command = testShift(view, good, makeMeta("c1", 0));
    CHECK(command.faults.empty());
    CHECK(json::serialize(command.spec->at("zones")) == R"(["a","b"])");
    const shift_config bad { "m", "none", "r", "r", 1500, 1, shift_status::Running, 0, {} };
    std::vector<std::string> fields;
    for (const auto& fault : testShift(view, bad, makeMeta("c2", 0)).faults)
        fields.push_back(fault.field);
    CHECK(fields == std::vector<std::string> { "permille", "service", "to_region", "cap_per_second", "permille" });
}

TEST_CASE("two shifts of the same service and region together move at most 1000 permille")
{
    auto view = makeView();
    view.shifts["m"] = { "m", "s", "r", "q", 700, 10, shift_status::Running, 0, { "a", "b" } };
    const shift_config second { "n", "s", "r", "q", 400, 10, shift_status::Running, 0, {} };
    const auto faults = testShift(view, second, makeMeta("c1", 0)).faults;
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].field == "permille");
    CHECK(faults[0].expected.find("at most 300") == 0);
}

TEST_CASE("a place that an endpoint uses cannot be removed; an endpoint that does not exist cannot be drained")
{
    auto view = makeView();
    view.endpoints["s"]["e"] = { "s", "e", "a", "10.0.0.1:80", 3, 350 };
    CHECK(testRemove(view, "place/a", makeMeta("c1", 0)).faults.size() == 1);
    CHECK(testRemove(view, "place/b", makeMeta("c1", 0)).faults.empty());
    const drain_config drain { "d", drain_kind::Endpoint, "s/nope", {}, 0 };
    CHECK(testDrain(view, drain, makeMeta("c1", 0)).faults.size() == 1);
}

static claim_reply claim(memory_store& store, const std::string& request)
{
    claim_reply result;
    claimInStore(store, "s", "key", request, [&](claim_reply reply) { result = std::move(reply); });
    return result;
}

TEST_CASE("a key is claimed by one request only, also if the reply to its claim is lost")
{
    memory_store store;
    store.loseReplies = 1;
    CHECK(claim(store, "one").result == claim_result::First);
    const auto second = claim(store, "two");
    CHECK(second.result == claim_result::Repeated);
    CHECK(second.holder == "one");
}

TEST_CASE("a claim that the store does not answer is unknown; if its write took effect, a second request is told that the key is taken")
{
    memory_store store;
    store.down = true;
    CHECK(claim(store, "one").result == claim_result::Unknown);
    store.down = false;
    store.loseReplies = 1;
    store.readsToFail = 1;
    CHECK(claim(store, "one").result == claim_result::Unknown);
    CHECK(claim(store, "two").result == claim_result::Repeated);
}
