/** @file test_config.cpp Merging and checking of configuration, and the agent. */
#include "agent/agent_func.h"
#include "config/config_func.h"
#include "settings/settings_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lhub;

static const time_point Start = time_point(seconds(100));

static config_object makePlace(std::uint64_t version, const std::string& region)
{
    const json::object value { { "spec", { { "zone", "a" }, { "region", region } } } };
    return { version, false, json::serialize(value) };
}

TEST_CASE("property: merging objects in any order, with repetitions, keeps the highest version of each")
{
    const bool passed = rc::check("merge", [] {
        const auto versions = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(1, 20));
        config_state state;
        std::uint64_t highest = 0;
        for (const auto version : versions) {
            const auto before = state.objects["place/a"].version;
            mergeObject(state, "place/a", makePlace(version, "r" + std::to_string(version)));
            RC_ASSERT(state.objects["place/a"].version >= before);
            highest = std::max<std::uint64_t>(highest, version);
        }
        RC_ASSERT(state.objects["place/a"].version == highest);
        RC_ASSERT(state.objects["place/a"].value == makePlace(highest, "r" + std::to_string(highest)).value);
    });
    CHECK(passed);
}

TEST_CASE("an object that does not parse is counted and does not replace its last valid version")
{
    config_view view;
    CHECK(applyObject(view, "place/a", makePlace(1, "r")).empty());
    const auto faults = applyObject(view, "place/a", { 2, false, R"({"spec": {"zone": "a", "region": 7}})" });
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].field == "region");
    CHECK(faults[0].value == "7");
    CHECK(view.places.at("a").region == "r");
    CHECK(view.rejected == 1);
}

TEST_CASE("all faults of a settings file are reported together, with key, value and expected form")
{
    const auto parsed = parseJson(R"({"vm": "v", "zone": "Not A Zone", "http": "host:80", "peer": "1.2.3.4:0",
        "agent": "1.2.3.4:7200", "store": 5, "typo": true /* comment */})");
    REQUIRE(parsed);
    vm_settings settings;
    const auto faults = readFields(vmSettingsFields(), *parsed, settings);
    std::vector<std::string> names(faults.size());
    std::transform(faults.begin(), faults.end(), names.begin(), [](const auto& fault) { return fault.field; });
    CHECK(names == std::vector<std::string> { "zone", "http", "peer", "store", "typo" });
    CHECK(describeFaults("f.json", faults).find("f.json: http: \"host:80\": expected an address") != std::string::npos);
}

static agent_state makeTestAgent(const std::string& vm = "vm1")
{
    return makeAgent({ vm, "a", "127.0.0.1:80", "127.0.0.1:81", "127.0.0.1:82", 1, false }, { "127.0.0.2:82" });
}

template <typename T>
static std::vector<T> effectsOf(const agent_effects& effects)
{
    std::vector<T> result;
    for (const auto& effect : effects) {
        if (const auto* each = std::get_if<T>(&effect))
            result.push_back(*each);
    }
    return result;
}

static store_reply watchReply(std::uint64_t revision, std::vector<keyed_object> objects)
{
    store_reply reply;
    reply.result = store_result::Done;
    reply.revision = revision;
    reply.objects = std::move(objects);
    return reply;
}

TEST_CASE("a waiting fetch gets its reply as soon as the configuration changes")
{
    auto agent = makeTestAgent();
    agent_effects effects;
    reduceAgent(agent, Start, store_watched { watchReply(5, { { "place/a", makePlace(5, "r") } }), Start }, effects);
    effects.clear();
    reduceAgent(agent, Start, fetch_arrived { 1, 5, seconds(1), false, false, {} }, effects);
    CHECK(effectsOf<reply_fetch>(effects).empty());
    reduceAgent(agent, Start + milliseconds(10),
        store_watched { watchReply(6, { { "place/a", makePlace(6, "q") } }), Start }, effects);
    const auto replies = effectsOf<reply_fetch>(effects);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].revision == 6);
    CHECK(replies[0].objects.size() == 1);
    CHECK(replies[0].age == milliseconds(10));
}

TEST_CASE("an agent that starts while the store is down is ready after fetching from its peers")
{
    auto agent = makeTestAgent();
    agent_effects effects;
    reduceAgent(agent, Start, agent_tick {}, effects);
    reduceAgent(agent, Start, store_watched { { store_result::Refused, {}, 0, {}, "down" }, Start }, effects);
    CHECK_FALSE(agent.ready);
    const auto fetches = effectsOf<fetch_peer>(effects);
    REQUIRE(fetches.size() == 1);
    CHECK(fetches[0].address == "127.0.0.2:82");
    reduceAgent(agent, Start,
        peer_fetched { "127.0.0.2:82", true, 9, { { "place/a", makePlace(9, "r") } }, seconds(30), Start }, effects);
    CHECK(agent.ready);
    CHECK(agent.completeRevision == 9);
    CHECK(elapsed(agent.confirmedAt, Start) == seconds(30));
}

TEST_CASE("an older state from a peer does not overwrite newer objects")
{
    auto agent = makeTestAgent();
    agent_effects effects;
    reduceAgent(agent, Start, store_watched { watchReply(9, { { "place/a", makePlace(9, "new") } }), Start }, effects);
    reduceAgent(agent, Start,
        peer_fetched { "127.0.0.2:82", true, 4, { { "place/a", makePlace(4, "old") } }, seconds(1), Start }, effects);
    CHECK(agent.completeRevision == 9);
    CHECK(agent.view.places.at("a").region == "new");
}

TEST_CASE("retry delays after failed watches grow, differ between VMs and are bounded")
{
    auto one = makeTestAgent("vm1");
    auto two = makeTestAgent("vm2");
    std::vector<milliseconds> delays;
    for (auto* agent : { &one, &two }) {
        auto now = Start;
        agent_effects effects;
        for (int i = 0; i < 12; ++i) {
            reduceAgent(*agent, now, store_watched { { store_result::Refused, {}, 0, {}, "down" }, now }, effects);
            delays.push_back(elapsed(now, agent->nextWatchAt));
            now = agent->nextWatchAt;
        }
    }
    CHECK(delays[3] > delays[0]);
    CHECK(*std::max_element(delays.begin(), delays.end()) <= one.limits.maxRetryDelay);
    CHECK(delays[11] != delays[23]);
}

TEST_CASE("all agents of a zone but two follow a peer, and watch the store once fetches from it fail")
{
    auto agent = makeTestAgent("vm1");
    std::vector<keyed_object> objects;
    std::uint64_t version = 0;
    for (const std::string vm : { "vm1", "vm2", "vm3", "vm4" }) {
        const json::object spec { { "name", vm }, { "zone", "a" }, { "http", "127.0.0.1:80" },
            { "peer", "127.0.0.1:81" }, { "agent", "127.0.0.1:82" }, { "incarnation", 1 } };
        objects.push_back({ "vm/" + vm, { ++version, false, json::serialize(json::object { { "spec", spec } }) } });
    }
    int watchers = 0;
    for (const std::string vm : { "vm1", "vm2", "vm3", "vm4" }) {
        auto each = makeTestAgent(vm);
        agent_effects effects;
        reduceAgent(each, Start, store_watched { watchReply(4, objects), Start }, effects);
        watchers += sourceOf(each) == agent_source::Store ? 1 : 0;
        if (sourceOf(each) == agent_source::Peer)
            agent = each;
    }
    CHECK(watchers == 2);
    agent_effects effects;
    for (int i = 0; i < 3; ++i)
        reduceAgent(agent, Start + seconds(i), peer_fetched { "x", false, 0, {}, {}, Start }, effects);
    CHECK(sourceOf(agent) == agent_source::Store);
}

TEST_CASE("a dead VM of the zone is deregistered, this VM and VMs of other zones are not")
{
    auto agent = makeTestAgent("vm1");
    std::vector<keyed_object> objects;
    std::uint64_t version = 0;
    for (const auto& [vm, zone] : std::map<std::string, std::string> { { "vm1", "a" }, { "vm2", "a" }, { "vm9", "b" } }) {
        const json::object spec { { "name", vm }, { "zone", zone }, { "http", "127.0.0.1:80" },
            { "peer", "127.0.0.1:81" }, { "agent", "127.0.0.1:82" }, { "incarnation", 1 }, { "leaving", false } };
        objects.push_back({ "vm/" + vm, { ++version, false, json::serialize(json::object { { "spec", spec } }) } });
    }
    agent_effects effects;
    reduceAgent(agent, Start, store_watched { watchReply(3, objects), Start }, effects);
    effects.clear();
    reduceAgent(agent, Start, fetch_arrived { 1, 3, seconds(1), true, false, { "vm1", "vm9", "vm2" } }, effects);
    const auto writes = effectsOf<write_registration>(effects);
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].request.operation == store_operation::Remove);
    CHECK(writes[0].request.key == "config/vm/vm2");
    CHECK(writes[0].request.expectedVersion == 2);
}

TEST_CASE("a VM that was deregistered by mistake registers itself again")
{
    auto agent = makeTestAgent("vm1");
    agent_effects effects;
    reduceAgent(agent, Start, store_watched { watchReply(3, { { "vm/vm1", { 3, true, {} } } }), Start }, effects);
    effects.clear();
    reduceAgent(agent, Start, fetch_arrived { 1, 3, seconds(1), true, false, {} }, effects);
    const auto writes = effectsOf<write_registration>(effects);
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].request.operation == store_operation::Put);
    CHECK(writes[0].request.expectedVersion == 0);
}
