/** @file test_gate.cpp The reducer of lhub-gate: what it knows, and the life of a request. */
#include "gate/gate_func.h"
#include "gossip/gossip_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace lhub;

static const time_point Start { seconds(1000) };

static route routeOf(const std::string& prefix, bool repeatable)
{
    route result;
    result.name = "route" + prefix;
    result.host = "host";
    result.prefix = prefix;
    result.repeatable = repeatable;
    result.timeout = milliseconds(2000);
    result.objective = milliseconds(400);
    result.maxAttempts = 2;
    result.affinity = true;
    result.targets = { { "service", 1 } };
    return result;
}

static std::shared_ptr<const route_table> tableOf(std::uint64_t version, std::vector<route> routes)
{
    route_config config;
    config.version = version;
    config.routes = std::move(routes);
    config.services["service"] = { "service", 100, milliseconds(3000), 6.4 };
    return std::make_shared<const route_table>(makeRouteTable(config));
}

static endpoint_entry entryOf(const std::string& id, const std::string& zone)
{
    endpoint_entry entry;
    entry.id = id;
    entry.service = "service";
    entry.zone = zone;
    entry.address = "10.0.0.1:80";
    entry.slots = 3;
    return entry;
}

/** A gate with its effects. */
struct gate_rig {
    gate_state gate; ///< Under test.
    time_point now = Start; ///< Moved by the test.
    gate_effects effects; ///< Of the last event.
    std::uint64_t lastId = 0; ///< Of requests.
};

static void feed(gate_rig& rig, const gate_event& event)
{
    rig.effects.clear();
    reduceGate(rig.gate, rig.now, event, rig.effects);
}

template <typename T>
static const T* find(const gate_rig& rig)
{
    for (const auto& effect : rig.effects) {
        if (const auto* found = std::get_if<T>(&effect))
            return found;
    }
    return nullptr;
}

static gate_rig makeRig(const std::vector<std::string>& endpoints = { "e1", "e2", "e3" })
{
    gate_identity self;
    self.vm = "vm1";
    self.ip = "10.0.0.9";
    self.zone = "a1";
    self.region = "a";
    self.regionOfZone = { { "a1", "a" }, { "a2", "a" }, { "b1", "b" } };
    self.retries = { 0.2, 64, seconds(10) };
    self.coldOverage = 1.5;
    self.coldSlack = 5;
    gate_rig rig;
    rig.gate = makeGate(self, 1);
    feed(rig, config_seen { tableOf(1, { routeOf("/read/", true), routeOf("/write/", false) }), 10 });
    for (const auto& id : endpoints)
        feed(rig, endpoint_seen { entryOf(id, "a1") });
    feed(rig, endpoints_listed {});
    return rig;
}

/** Sends a request in. @return its id. */
static std::uint64_t ask(gate_rig& rig, const std::string& target, const std::string& object = "o", milliseconds patience = milliseconds(2000))
{
    const auto id = ++rig.lastId;
    feed(rig, request_seen { id, "caller-" + std::to_string(id), "host", target, object, patience });
    return id;
}

static attempt_seen ended(const send_attempt& sent, dispatch_outcome outcome, unsigned status)
{
    attempt_seen event;
    event.request = sent.request;
    event.attempt = sent.attempt;
    event.outcome = outcome;
    event.status = status;
    return event;
}

TEST_CASE("without a configuration or endpoints it is not ready and refuses with a time to come back")
{
    gate_identity self;
    self.vm = "vm1";
    gate_rig rig;
    rig.gate = makeGate(self, 1);
    ask(rig, "/read/x");
    REQUIRE(find<answer_request>(rig));
    CHECK(find<answer_request>(rig)->status == 503);
    CHECK(find<answer_request>(rig)->retryAfter.count() > 0);
    CHECK_FALSE(isReady(rig.gate));
    feed(rig, config_seen { tableOf(1, { routeOf("/read/", true) }), 10 });
    CHECK_FALSE(isReady(rig.gate));
    feed(rig, endpoints_listed {});
    CHECK(isReady(rig.gate));
    feed(rig, stop_requested {});
    CHECK_FALSE(isReady(rig.gate));
}

TEST_CASE("the configuration never goes back")
{
    auto rig = makeRig();
    feed(rig, config_seen { tableOf(5, { routeOf("/new/", true) }), 20 });
    feed(rig, config_seen { tableOf(4, { routeOf("/old/", true) }), 30 });
    CHECK(rig.gate.routes->config.version == 5);
    ask(rig, "/old/x");
    CHECK(find<answer_request>(rig)->status == 404);
    ask(rig, "/new/x");
    CHECK(find<send_attempt>(rig));
}

TEST_CASE("the same object goes to the same endpoint; a leaving, gone or evacuated one gets nothing new")
{
    auto rig = makeRig();
    ask(rig, "/read/x");
    const auto home = find<send_attempt>(rig)->endpoint;
    ask(rig, "/read/y");
    CHECK(find<send_attempt>(rig)->endpoint == home);
    auto leaving = entryOf(home, "a1");
    leaving.leaving = true;
    feed(rig, endpoint_seen { leaving });
    ask(rig, "/read/x");
    const auto second = find<send_attempt>(rig)->endpoint;
    CHECK(second != home);
    feed(rig, endpoint_gone { second });
    ask(rig, "/read/x");
    const auto third = find<send_attempt>(rig)->endpoint;
    CHECK((third != home && third != second));
    feed(rig, evacuations_seen { { "a1" } });
    ask(rig, "/read/x");
    CHECK_FALSE(find<send_attempt>(rig));
    CHECK(find<answer_request>(rig)->status == 503);
}

TEST_CASE("an answer is relayed, its request forgotten")
{
    auto rig = makeRig();
    ask(rig, "/read/x");
    const auto sent = *find<send_attempt>(rig);
    feed(rig, ended(sent, dispatch_outcome::Whole, 200));
    CHECK(find<relay_answer>(rig));
    CHECK(rig.gate.requests.empty());
    CHECK(rig.gate.endpoints.at(sent.endpoint).inFlight == 0);
}

TEST_CASE("a request that may run once is sent again only with proof that it did not run")
{
    for (const auto outcome : { dispatch_outcome::ConnectFailed, dispatch_outcome::Shed }) {
        auto rig = makeRig();
        ask(rig, "/write/x");
        const auto sent = *find<send_attempt>(rig);
        feed(rig, ended(sent, outcome, 503));
        REQUIRE(find<send_attempt>(rig));
        CHECK(find<send_attempt>(rig)->endpoint != sent.endpoint);
    }
    for (const auto outcome : { dispatch_outcome::Lost, dispatch_outcome::Cut, dispatch_outcome::TimedOut }) {
        auto rig = makeRig();
        ask(rig, "/write/x");
        feed(rig, ended(*find<send_attempt>(rig), outcome, 0));
        CHECK_FALSE(find<send_attempt>(rig));
        REQUIRE(find<answer_request>(rig));
        CHECK(find<answer_request>(rig)->status == 502);
    }
}

TEST_CASE("a repeatable request is sent again after a lost answer or an error, at most as often as its route allows")
{
    auto rig = makeRig();
    ask(rig, "/read/x");
    feed(rig, ended(*find<send_attempt>(rig), dispatch_outcome::Lost, 0));
    REQUIRE(find<send_attempt>(rig));
    feed(rig, ended(*find<send_attempt>(rig), dispatch_outcome::Lost, 0));
    CHECK_FALSE(find<send_attempt>(rig));
    CHECK(find<answer_request>(rig)->status == 502);
}

TEST_CASE("an endpoint's own failure is relayed when there is no further attempt")
{
    auto rig = makeRig();
    ask(rig, "/write/x");
    feed(rig, ended(*find<send_attempt>(rig), dispatch_outcome::Whole, 500));
    CHECK(find<relay_answer>(rig));
}

TEST_CASE("the promise of not having run is kept over all histories of attempts")
{
    rc::prop("503 only without a possible run", [] {
        auto rig = makeRig();
        ask(rig, *rc::gen::arbitrary<bool>() ? "/read/x" : "/write/x");
        bool mayHaveRun = false;
        unsigned reached = 0;
        while (const auto* next = find<send_attempt>(rig)) {
            const auto sent = *next;
            const auto outcome = *rc::gen::element(dispatch_outcome::ConnectFailed, dispatch_outcome::Shed, dispatch_outcome::Lost,
                dispatch_outcome::Cut, dispatch_outcome::Whole);
            mayHaveRun = mayHaveRun || verdictOf(outcome) != verdict::NotRun;
            reached += outcome == dispatch_outcome::ConnectFailed ? 0 : 1;
            feed(rig, ended(sent, outcome, outcome == dispatch_outcome::Whole ? 500 : 503));
        }
        RC_ASSERT(reached <= 2U);
        const auto* answer = find<answer_request>(rig);
        RC_ASSERT(answer || find<relay_answer>(rig));
        if (answer && answer->status == 503)
            RC_ASSERT(!mayHaveRun);
        RC_ASSERT(rig.gate.requests.empty());
    });
}

TEST_CASE("the deadline ends a request: uncertain when it was sent, never later than its route allows")
{
    auto rig = makeRig();
    const auto id = ask(rig, "/write/x", "o", milliseconds(500));
    CHECK(find<send_attempt>(rig)->deadline == Start + milliseconds(500));
    rig.now = Start + milliseconds(500);
    feed(rig, request_woken { id });
    REQUIRE(find<answer_request>(rig));
    CHECK(find<answer_request>(rig)->status == 504);
    CHECK(find<cancel_attempt>(rig));
    auto patient = makeRig();
    ask(patient, "/read/x", "o", seconds(60));
    CHECK(find<send_attempt>(patient)->deadline == Start + milliseconds(2000));
}

TEST_CASE("a caller that leaves cancels repeatable work and lets the rest end")
{
    auto rig = makeRig();
    const auto read = ask(rig, "/read/x");
    const auto sent = *find<send_attempt>(rig);
    feed(rig, caller_gone { read });
    CHECK(find<cancel_attempt>(rig));
    feed(rig, ended(sent, dispatch_outcome::CallerGone, 0));
    CHECK(rig.gate.requests.empty());
    const auto write = ask(rig, "/write/x");
    const auto writing = *find<send_attempt>(rig);
    feed(rig, caller_gone { write });
    CHECK_FALSE(find<cancel_attempt>(rig));
    feed(rig, ended(writing, dispatch_outcome::Whole, 200));
    CHECK_FALSE(find<relay_answer>(rig));
    CHECK(rig.gate.requests.empty());
}

TEST_CASE("an overdue answer of a repeatable request is hedged once, at another endpoint")
{
    auto rig = makeRig();
    const auto id = ask(rig, "/read/x");
    const auto first = *find<send_attempt>(rig);
    const auto* wake = find<wake_request>(rig);
    REQUIRE(wake);
    rig.now = wake->at;
    REQUIRE(rig.now < Start + milliseconds(2000));
    feed(rig, request_woken { id });
    REQUIRE(find<send_attempt>(rig));
    const auto second = *find<send_attempt>(rig);
    CHECK(second.endpoint != first.endpoint);
    feed(rig, ended(second, dispatch_outcome::Whole, 200));
    CHECK(find<relay_answer>(rig)->attempt == second.attempt);
    CHECK(find<cancel_attempt>(rig)->attempt == first.attempt);
    feed(rig, ended(first, dispatch_outcome::CallerGone, 0));
    CHECK(rig.gate.requests.empty());
}

TEST_CASE("one VM of the region alone warms a cold endpoint, within its rate")
{
    auto rig = makeRig({});
    auto cold = entryOf("cold", "a1");
    cold.coldLeft = milliseconds(9000);
    feed(rig, endpoint_seen { cold });
    // When all VMs start at the same moment, none knows the others: no one may believe to be the owner.
    for (int i = 0; i < 40; ++i) {
        ask(rig, "/read/x", "early" + std::to_string(i));
        CHECK_FALSE(find<send_attempt>(rig));
    }
    rig.now += seconds(4);
    unsigned sent = 0;
    for (int i = 0; i < 40; ++i) {
        ask(rig, "/read/x", "o" + std::to_string(i));
        sent += find<send_attempt>(rig) ? 1 : 0;
    }
    CHECK(sent > 0);
    CHECK(sent * 3.0 <= 6.4 * 1.5 + 5); // Three that believe to be the owner stay within the bound together.
    // A second VM joins: exactly one of the two owns the endpoint.
    auto other = rig;
    other.gate.self.vm = "vm2";
    other.gate.members.self = "vm2";
    mergeClaims(rig.gate.members, { { "vm2", "10.0.0.8", "a2", 1, 1, true } }, "vm2", rig.now);
    other.gate.members = rig.gate.members;
    other.gate.members.self = "vm2";
    mergeClaims(other.gate.members, { { "vm1", "10.0.0.9", "a1", 1, 1, true } }, "vm1", rig.now);
    CHECK(ownsColdEndpoint(rig.gate, rig.gate.endpoints.at("cold"), rig.now) != ownsColdEndpoint(other.gate, other.gate.endpoints.at("cold"), rig.now));
    // A VM of another region never warms it.
    auto far = rig;
    far.gate.self.vm = "vm3";
    far.gate.members = member_table {};
    far.gate.members.self = "vm3";
    far.gate.members.members["vm3"] = { { "vm3", "10.0.0.7", "b1", 1, 1, true }, {} };
    CHECK_FALSE(ownsColdEndpoint(far.gate, far.gate.endpoints.at("cold"), far.now));
}

TEST_CASE("a first list of many endpoints is one line of the log, later ones come one by one")
{
    gate_rig rig;
    rig.gate = makeGate(makeRig({}).gate.self, 1);
    std::size_t lines = 0;
    for (int i = 0; i < 2000; ++i) {
        feed(rig, endpoint_seen { entryOf("e" + std::to_string(i), "a1") });
        lines += rig.effects.size();
    }
    feed(rig, endpoints_listed {});
    lines += rig.effects.size();
    CHECK(lines == 1);
    feed(rig, endpoint_seen { entryOf("late", "a1") });
    REQUIRE(find<log_line>(rig));
    CHECK(find<log_line>(rig)->event == "endpoint");
}

/** VMs of one region that know each other, each with a gate of its own. */
static std::vector<gate_rig> makeRegion(unsigned vms, const endpoint_entry& cold)
{
    std::vector<gate_rig> rigs;
    for (unsigned i = 0; i < vms; ++i) {
        auto rig = makeRig({});
        const auto name = "vm" + std::to_string(i);
        rig.gate.self.vm = name;
        rig.gate.members.self = name;
        rig.gate.members.members.clear();
        rig.gate.members.members[name] = { { name, "10.0.0." + std::to_string(i), "a1", 1, 1, true }, {} };
        feed(rig, endpoint_seen { cold });
        rigs.push_back(std::move(rig));
    }
    return rigs;
}

/** One round of gossip in which everybody hears everybody. */
static void gossipAll(std::vector<gate_rig>& rigs)
{
    for (auto& rig : rigs)
        claimsToSend(rig.gate.members, rig.gate.gossip, rig.now);
    for (auto& to : rigs) {
        for (const auto& from : rigs) {
            if (&to != &from)
                mergeClaims(to.gate.members, { from.gate.members.members.at(from.gate.self.vm).claim }, from.gate.self.vm, to.now);
        }
    }
}

/** Each VM gets requests for a cold endpoint. @return how many all of them send there. */
static unsigned warmFrom(std::vector<gate_rig>& rigs)
{
    unsigned sent = 0;
    for (auto& rig : rigs) {
        for (int i = 0; i < 20; ++i) {
            ask(rig, "/read/x", "object" + std::to_string(i));
            sent += find<send_attempt>(rig) ? 1 : 0;
        }
    }
    return sent;
}

TEST_CASE("VMs that wake from a pause, or were cut off, do not act on what only others may do now")
{
    static constexpr double Bound = 6.4 * 1.5 + 5; // Of the configuration, over all VMs together.
    auto cold = entryOf("cold", "a1");
    cold.coldLeft = seconds(300);
    for (const auto pause : { seconds(2), seconds(10), seconds(90) }) {
        CAPTURE(pause.count());
        auto rigs = makeRegion(12, cold);
        for (int round = 0; round < 10; ++round) {
            for (auto& rig : rigs)
                rig.now += milliseconds(500);
            gossipAll(rigs);
        }
        const auto before = warmFrom(rigs);
        CHECK(before > 0);
        CHECK(before <= Bound);
        for (auto& rig : rigs)
            rig.now += pause; // All were paused, and nobody has heard of anybody.
        CHECK(warmFrom(rigs) == 0);
        for (auto& rig : rigs) {
            rig.now += milliseconds(100);
            claimsToSend(rig.gate.members, rig.gate.gossip, rig.now); // The first round after it does not make them trust their view.
        }
        CHECK(warmFrom(rigs) == 0);
    }
    // Cut from each other while their processes run: together within the bound, however long it takes.
    auto rigs = makeRegion(12, cold);
    for (int round = 0; round < 10; ++round) {
        for (auto& rig : rigs)
            rig.now += milliseconds(500);
        gossipAll(rigs);
    }
    for (int round = 0; round < 40; ++round) {
        for (auto& rig : rigs) {
            rig.now += milliseconds(500);
            claimsToSend(rig.gate.members, rig.gate.gossip, rig.now);
        }
        if (round % 4 == 3)
            CHECK(warmFrom(rigs) <= Bound);
    }
}

TEST_CASE("VMs that are cut from each other keep the retries of all of them within the fleet's bound")
{
    auto cold = entryOf("cold", "a1");
    cold.coldLeft = seconds(300);
    const auto cut = GENERATE(seconds(20), seconds(4000)); // Regions may lose each other for an hour.
    CAPTURE(cut.count());
    auto rigs = makeRegion(12, cold);
    for (int round = 0; round < 10; ++round) {
        for (auto& rig : rigs)
            rig.now += milliseconds(500);
        gossipAll(rigs);
    }
    unsigned extras = 0;
    for (auto& rig : rigs) {
        for (const auto* id : { "e1", "e2", "e3" })
            feed(rig, endpoint_seen { entryOf(id, "a1") });
        rig.now += cut; // Nobody has heard of anybody since.
        for (int i = 0; i < 10; ++i) {
            ask(rig, "/read/x", "object" + std::to_string(i));
            if (const auto* sent = find<send_attempt>(rig)) {
                const auto first = *sent;
                feed(rig, ended(first, dispatch_outcome::Lost, 0));
                extras += find<send_attempt>(rig) ? 1 : 0;
            }
        }
    }
    CHECK(extras > 0);
    CHECK(extras <= 0.2 * 120 + 64); // Ratio of all requests and the slack of the rig's bounds.
}

TEST_CASE("a zone that is taken back counts as cold for a while")
{
    auto rig = makeRig();
    rig.now += seconds(4);
    feed(rig, evacuations_seen { { "a1" } });
    feed(rig, evacuations_seen { {} });
    unsigned sent = 0;
    for (int i = 0; i < 60; ++i) {
        ask(rig, "/read/x", "o" + std::to_string(i));
        sent += find<send_attempt>(rig) ? 1 : 0;
    }
    CHECK(sent * 3.0 <= 3 * (6.4 * 1.5 + 5));
    rig.now += seconds(4);
    ask(rig, "/read/x", "later");
    CHECK(find<send_attempt>(rig));
}

TEST_CASE("a request runs only in the regions of its route")
{
    auto rig = makeRig({});
    feed(rig, endpoint_seen { entryOf("in-a", "a1") });
    feed(rig, endpoint_seen { entryOf("in-b", "b1") });
    auto bound = routeOf("/read/", true);
    bound.regions = { "b" };
    feed(rig, config_seen { tableOf(2, { bound }), 20 });
    for (int i = 0; i < 20; ++i) {
        ask(rig, "/read/x", "o" + std::to_string(i));
        REQUIRE(find<send_attempt>(rig));
        const auto sent = *find<send_attempt>(rig);
        CHECK(sent.endpoint == "in-b");
        feed(rig, ended(sent, dispatch_outcome::Whole, 200)); // Its queue stays short.
    }
    feed(rig, endpoint_gone { "in-b" });
    ask(rig, "/read/x");
    CHECK_FALSE(find<send_attempt>(rig));
}

TEST_CASE("an address that belongs to another endpoint is left at once")
{
    auto rig = makeRig();
    ask(rig, "/write/x");
    const auto sent = *find<send_attempt>(rig);
    auto event = ended(sent, dispatch_outcome::Shed, 421);
    event.misdirected = true;
    feed(rig, event);
    CHECK(find<send_attempt>(rig)->endpoint != sent.endpoint);
    CHECK(rig.gate.endpoints.count(sent.endpoint) == 0);
}

TEST_CASE("what cannot be served in time is refused at once with a time to come back")
{
    auto rig = makeRig({ "only" });
    feed(rig, endpoint_seen { entryOf("only", "a1") });
    unsigned refused = 0;
    for (int i = 0; i < 400 && refused == 0; ++i) {
        ask(rig, "/read/x");
        if (const auto* answer = find<answer_request>(rig)) {
            ++refused;
            CHECK(answer->status == 503);
            CHECK(answer->retryAfter >= milliseconds(100));
            CHECK(answer->retryAfter <= milliseconds(1000));
        }
    }
    CHECK(refused == 1);
}

TEST_CASE("an endpoint that goes silent is left after three overdue attempts, long before their deadlines")
{
    auto rig = makeRig();
    ask(rig, "/write/x");
    const auto silent = find<send_attempt>(rig)->endpoint;
    std::vector<std::uint64_t> asked { 1 };
    for (int i = 0; i < 2; ++i)
        asked.push_back(ask(rig, "/write/x"));
    const auto wake = find<wake_request>(rig)->at;
    REQUIRE(wake < Start + milliseconds(1000));
    rig.now = wake;
    bool dropped = false;
    for (const auto id : asked) {
        feed(rig, request_woken { id });
        dropped = dropped || find<drop_connections>(rig);
        CHECK_FALSE(find<answer_request>(rig)); // It is still waited for.
    }
    CHECK(dropped);
    ask(rig, "/write/x");
    REQUIRE(find<send_attempt>(rig));
    CHECK(find<send_attempt>(rig)->endpoint != silent);
}

TEST_CASE("an endpoint that is only slow to answer some requests is not taken for silent")
{
    auto rig = makeRig();
    std::vector<std::uint64_t> asked;
    asked.reserve(4);
    for (int i = 0; i < 4; ++i)
        asked.push_back(ask(rig, "/write/x"));
    const auto wake = find<wake_request>(rig)->at;
    rig.now = wake - milliseconds(1);
    ask(rig, "/write/x");
    const auto sent = *find<send_attempt>(rig);
    feed(rig, ended(sent, dispatch_outcome::Whole, 200));
    rig.now = wake;
    for (const auto id : asked) {
        feed(rig, request_woken { id });
        CHECK_FALSE(find<drop_connections>(rig));
    }
}
