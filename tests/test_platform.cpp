/** @file test_platform.cpp The adapter: settings, objects, headers and the store's calls. */
#include "platform/messages.h"
#include "platform/object_store.h"
#include "platform/objects.h"
#include "platform/settings.h"
#include "platform/standin/store_standin.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace lhub;
using namespace lhub::platform;

TEST_CASE("settings are read, faults are named")
{
    const std::string good = R"({
        // comment
        "vm": "v", "ip": "10.0.0.1", "zone": "a1", "region": "a", "zones": {"a1": "a"},
        "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "lookups": "10.0.0.1:3", "peers": "10.0.0.1:4",
        "seeds": ["10.0.0.2:4", "rubbish"], "gossip_port": 7000, "store": "10.9.0.1:5",
        "max_descriptors": 4100, "memory_mb": 260, "bounds": {"drain_ms": 2500, "retry_ratio": 0.2, "later": true}
    })";
    const auto settings = decodeSettings("f", good);
    REQUIRE(settings);
    CHECK(settings->bounds.drain == milliseconds(2500));
    CHECK(settings->bounds.retryRatio == Approx(0.2));
    CHECK(settings->seeds == std::vector<std::string> { "10.0.0.2:4" });
    CHECK(settings->gossipPort == 7000);
    const auto bad = decodeSettings("f", R"({"vm": 1, "gossip_port": 0, "stranger": 1})");
    CHECK_FALSE(bad);
    for (const auto* name : { "vm", "gossip_port", "stranger", "zones", "store" })
        CHECK(bad.reason.find(name) != std::string::npos);
}

static const char* const ConfigText = R"({"version":7,"routes":{"columns":["name","host","path_prefix","kind","timeout_ms",
    "target_latency_ms","priority","traffic_split","max_attempts","sticky","allowed_regions","service"],
    "rows":[["r1","h1","/a/","idempotent",2000,400,2,[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,true,[],null],
            ["r2","h2","/b/","non_idempotent",2500,400,1,null,2,false,["gulf"],"s1"],
            ["r3","h2","/c/","download",1500,300,2,null,null,true,null,"s2"]]},
    "services":{"columns":["name","health_path","max_conns","cold_period_s","cold_per_s"],"rows":[["s1","/health",390,3.0,6.4]]},
    "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

TEST_CASE("a configuration is decoded into routes and services")
{
    const auto config = decodeConfig(ConfigText);
    REQUIRE(config);
    REQUIRE(config->routes.size() == 3);
    CHECK(config->routes[0].repeatable);
    CHECK(config->routes[0].targets.size() == 2);
    CHECK(config->routes[0].targets[1].weight == 10);
    CHECK_FALSE(config->routes[1].repeatable);
    CHECK(config->routes[1].regions == std::vector<std::string> { "gulf" });
    CHECK(config->routes[2].largeAnswers);
    CHECK(config->routes[2].repeatable);
    CHECK(config->routes[2].maxAttempts == 1);
    CHECK(config->services.at("s1").coldPeriod == milliseconds(3000));
    CHECK(config->limits.bodyBytes == 1000);
}

TEST_CASE("damaged configurations are refused with a reason, never half read")
{
    const std::string text(ConfigText);
    for (std::size_t i = 0; i < text.size(); i += 7)
        CHECK_FALSE(decodeConfig(text.substr(0, i)));
    for (const auto* bad : { R"({"version":"7"})", R"([])", R"({"version":1,"routes":{"columns":["name"],"rows":[["a","b"]]},"services":{"columns":[],"rows":[]}})" }) {
        const auto config = decodeConfig(bad);
        CHECK_FALSE(config);
        CHECK_FALSE(config.reason.empty());
    }
    auto odd = text;
    odd.replace(odd.find("\"download\""), 10, "\"upload\"");
    CHECK_FALSE(decodeConfig(odd));
}

TEST_CASE("entries of endpoints that anybody may have written are checked field by field")
{
    const std::string good = R"({"address":"10.0.0.9:8080","info":{"service":"s","version":"v1","zone":"a1","capacity":3},
        "status":{"state":"ready","sequence":4,"cold_left_ms":1500},"born":1775239830029})";
    const auto entry = decodeEndpoint("i-1", good);
    REQUIRE(entry);
    CHECK(entry->id == "i-1");
    CHECK(entry->slots == 3);
    CHECK(entry->coldLeft == milliseconds(1500));
    CHECK(entry->born == 1775239830029);
    const std::vector<std::pair<std::string, std::string>> damages { { "\"ready\"", "\"resting\"" }, { ":3}", ":0}" }, { ":3}", ":\"3\"}" },
        { "10.0.0.9:8080", "somewhere" }, { "\"s\"", "7" }, { "\"zone\"", "\"place\"" }, { "1775239830029", "1.5" }, { "\"status\"", "\"x\"" } };
    for (const auto& [from, to] : damages) {
        auto bad = good;
        bad.replace(bad.find(from), from.size(), to);
        CAPTURE(bad);
        CHECK_FALSE(decodeEndpoint("i-1", bad));
    }
}

TEST_CASE("headers of callers and endpoints are decoded, odd ones count as absent")
{
    http::fields caller;
    caller.set("X-Request-Id", "id1");
    caller.set("X-Deadline-Ms", "1500");
    caller.set(http::field::cookie, "a=b; X-Affinity-Key=17; c=d");
    const auto facts = decodeCaller(caller);
    CHECK(facts.id == "id1");
    CHECK(facts.patience == milliseconds(1500));
    CHECK(facts.object == "17");
    caller.set("X-Deadline-Ms", "soon");
    CHECK(decodeCaller(caller).patience.count() == 0);
    http::fields answer;
    answer.set("X-Server-Load", "2,1,3");
    answer.set("X-Cold-Ms", "700");
    auto said = decodeAnswer(answer, 200);
    CHECK(said.reported);
    CHECK(said.running == 1); // The header counts the request that it answers.
    CHECK(said.waiting == 1);
    CHECK(said.coldLeft == milliseconds(700));
    CHECK_FALSE(said.notRun);
    answer.set("X-Server-Load", "2,1");
    CHECK_FALSE(decodeAnswer(answer, 200).reported);
    CHECK(decodeAnswer(answer, 421).notRun);
    answer.set("X-Server-Load", "3,9,3");
    CHECK(decodeAnswer(answer, 421).running == 3); // A request that did not run is not counted.
    http::fields own;
    addRetryAfter(own, milliseconds(250));
    CHECK(own[http::field::retry_after] == "0.250");
}

TEST_CASE("look-ups are decoded and answered")
{
    const auto question = decodeLookup("/resolve?name=h%2Eexample&region=gulf&zone=gulf-a");
    REQUIRE(question);
    CHECK(question->host == "h.example");
    CHECK(question->region == "gulf");
    CHECK_FALSE(decodeLookup("/resolved"));
    CHECK(encodeLookup({ "10.0.0.1:80" }, seconds(2)) == R"({"addresses":["10.0.0.1:80"],"ttl_s":2})");
}

/** A store of the platform on a port chosen by the kernel. */
struct store_rig {
    asio::io_context context; ///< Runs both sides.
    std::shared_ptr<platform_store> store = std::make_shared<platform_store>(); ///< The stand-in.
    tcp::acceptor acceptor; ///< Its port.
    store_call_counts counts; ///< Of the client.
    std::unique_ptr<store_client> client; ///< Under test.

    store_rig()
        : acceptor(std::move(*listenAt(context.get_executor(), "127.0.0.1:0")))
    {
        asio::co_spawn(context, serveHttp(acceptor, makePlatformStoreHandler(store), {}), asio::detached);
        client = std::move(*makeObjectStore(context.get_executor(), addressText(acceptor.local_endpoint()), milliseconds(300), counts));
    }
};

static store_reply callNow(store_rig& rig, const store_request& request)
{
    std::optional<store_reply> reply;
    rig.client->call(request, [&](store_reply got) { reply = std::move(got); });
    while (!reply)
        rig.context.run_one();
    return *reply;
}

static store_request watchOf(std::uint64_t since, milliseconds wait)
{
    store_request request;
    request.operation = store_operation::Watch;
    request.key = "things/";
    request.since = since;
    request.wait = wait;
    return request;
}

static store_request putOf(std::uint64_t expected, const std::string& value)
{
    store_request request;
    request.operation = store_operation::Put;
    request.key = "things/one";
    request.value = value;
    request.expected = expected;
    return request;
}

TEST_CASE("the store lists over all pages and watches from there")
{
    store_rig rig;
    rig.store->faults.pageSize = 3;
    for (int i = 0; i < 8; ++i)
        putObject(*rig.store, "things", "name " + std::to_string(i), { { "n", i } });
    const auto listed = callNow(rig, watchOf(0, milliseconds(0)));
    REQUIRE(listed.result == store_result::Done);
    CHECK(listed.objects.size() == 8);
    CHECK(listed.objects[7].key == "things/name 7");
    CHECK(listed.objects[7].object.value == R"({"n":7})");
    CHECK(rig.counts.reads == 3);
    removeObject(*rig.store, "things", "name 2");
    const auto news = callNow(rig, watchOf(listed.revision, milliseconds(1000)));
    REQUIRE(news.objects.size() == 1);
    CHECK(news.objects[0].object.deleted);
    CHECK(callNow(rig, watchOf(news.revision, milliseconds(10))).objects.empty());
    compactHistory(*rig.store);
    putObject(*rig.store, "things", "late", nullptr);
    CHECK(callNow(rig, watchOf(1, milliseconds(10))).result == store_result::HistoryGone);
}

TEST_CASE("writes are conditional: a conflict shows what is there")
{
    store_rig rig;
    const auto made = callNow(rig, putOf(0, R"({"a":1})"));
    REQUIRE(made.result == store_result::Done);
    const auto again = callNow(rig, putOf(0, R"({"a":2})"));
    CHECK(again.result == store_result::Conflict);
    CHECK(again.object.version == made.object.version);
    CHECK(callNow(rig, putOf(made.object.version, R"({"a":2})")).result == store_result::Done);
    CHECK(callNow(rig, putOf(made.object.version, R"({"a":3})")).result == store_result::Conflict);
}

TEST_CASE("a store that is down refuses, one that is silent or loses the reply leaves it unknown")
{
    store_rig rig;
    rig.store->faults.loseReplies = 1;
    CHECK(callNow(rig, putOf(0, "{}")).result == store_result::Unknown);
    CHECK(callNow(rig, putOf(0, "{}")).result == store_result::Conflict); // The lost one was carried out.
    rig.store->faults.down = true;
    CHECK(callNow(rig, putOf(0, "{}")).result == store_result::Refused);
    rig.store->faults.down = false;
    rig.store->faults.silent = true;
    CHECK(callNow(rig, watchOf(0, milliseconds(0))).result == store_result::Unknown);
    rig.store->faults.silent = false;
    CHECK(callNow(rig, watchOf(0, milliseconds(0))).result == store_result::Done);
    CHECK(rig.counts.failures == 3);
}

TEST_CASE("the settings template names every field that the settings need")
{
    const std::ifstream input("platform/settings.json.in");
    REQUIRE(input);
    std::stringstream text;
    text << input.rdbuf();
    for (const auto* field : { "vm", "ip", "zone", "region", "zones", "callers", "ready", "lookups", "peers", "seeds", "gossip_port", "store", "max_descriptors", "memory_mb", "bounds" })
        CHECK(text.str().find("\"" + std::string(field) + "\"") != std::string::npos);
}

TEST_CASE("a list goes on at the page that the store refused for its rate")
{
    store_rig rig;
    rig.store->faults.pageSize = 1;
    rig.store->faults.limitReads = 4;
    for (int i = 0; i < 6; ++i)
        putObject(*rig.store, "things", "name " + std::to_string(i), { { "n", i } });
    const auto listed = callNow(rig, watchOf(0, milliseconds(0)));
    REQUIRE(listed.result == store_result::Done);
    CHECK(listed.objects.size() == 6);
    CHECK(rig.counts.reads == 10); // Six pages, four of them twice.
}
