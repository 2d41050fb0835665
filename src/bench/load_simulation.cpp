/** @file load_simulation.cpp Callers and endpoints around the reducer of lhub-gate, in simulated time. */
#include "bench/load_simulation.h"

#include "gate/gate_func.h"
#include "gossip/gossip_func.h"
#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace lhub {

namespace {

    constexpr milliseconds CallerWay { 8 }; ///< One way between a caller and an entry VM.
    constexpr milliseconds NearWay { 1 }; ///< One way within a region.
    constexpr milliseconds FarWay { 55 }; ///< One way between regions.
    constexpr milliseconds GossipPause { 500 }; ///< Between two rounds of gossip.

    /** A request of a caller over all its tries. */
    struct played_request {
        std::size_t zone = 0; ///< Of the caller.
        std::string object; ///< What it asks for.
        time_point sent {}; ///< Its first try.
        bool retried = false; ///< The caller has come back once.
        bool done = false; ///< It has ended.
        unsigned runs = 0; ///< Times that it ran.
    };

    /** One attempt as an endpoint sees it. */
    struct played_attempt {
        std::size_t vm = 0; ///< Who sent it.
        std::uint64_t exchange = 0; ///< Its request at that VM.
        std::uint64_t attempt = 0; ///< Identity there.
        std::size_t request = 0; ///< Of the caller.
        bool cancelled = false; ///< The VM has left it.
    };

    using attempt_pointer = std::shared_ptr<played_attempt>;

    /** An endpoint. */
    struct played_endpoint {
        std::string id; ///< Identity.
        std::size_t zone = 0; ///< Where it stands.
        unsigned running = 0; ///< Requests it works on.
        std::deque<attempt_pointer> waiting; ///< Requests that wait.
        std::deque<std::string> memory; ///< Objects handled, newest last.
        unsigned index = 0; ///< For faults.
    };

    /** An entry VM. */
    struct played_vm {
        std::size_t zone = 0; ///< Where it stands.
        gate_state gate; ///< Its reducer.
        std::map<std::uint64_t, std::size_t> requests; ///< Caller's request by exchange.
        std::map<std::uint64_t, attempt_pointer> attempts; ///< Open attempts.
        std::vector<unsigned> inFlight; ///< Own requests by endpoint, for the simple policies.
    };

    /** One thing that happens at a time. */
    struct played_event {
        time_point at {}; ///< When.
        std::uint64_t order = 0; ///< Ties in the order of making.
        std::function<void()> run; ///< What.
        bool operator<(const played_event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    /** The whole play. */
    struct load_play {
        const simulation_settings& settings; ///< What is played.
        time_point now { seconds(1000) }; ///< Simulated time.
        std::priority_queue<played_event> events; ///< What is to come.
        std::uint64_t made = 0; ///< Events made.
        std::uint64_t exchanges = 0; ///< Exchanges made.
        std::mt19937 draws; ///< All draws.
        std::vector<played_vm> vms; ///< Entry VMs.
        std::vector<played_endpoint> endpoints; ///< Endpoints.
        std::vector<played_request> requests; ///< Requests of callers.
        play_result result; ///< So far.
        std::vector<std::pair<unsigned, unsigned>> zones; ///< Asked and on time, by zone.
        std::vector<std::pair<unsigned, double>> bySecond; ///< Asked and worth, by the second in which they were sent.
    };

} // namespace

static void after(load_play& play, time_point::duration span, std::function<void()> run)
{
    play.events.push({ play.now + span, ++play.made, std::move(run) });
}

static double draw(load_play& play) { return std::uniform_real_distribution<double>(0, 1)(play.draws); }

static milliseconds wayBetween(const load_play& play, std::size_t zone, std::size_t other)
{
    return play.settings.zones[zone].region == play.settings.zones[other].region ? NearWay : FarWay;
}

static void arriveAtVm(load_play& play, std::size_t request);
static void startWork(load_play& play, std::size_t endpoint, const attempt_pointer& attempt);

static void feed(load_play& play, std::size_t vm, const gate_event& event);

/** Counts of the second of the play. */
static std::pair<unsigned, double>& secondOf(load_play& play, time_point at)
{
    const auto second = static_cast<std::size_t>(std::chrono::duration_cast<seconds>(at - time_point(seconds(1000))).count());
    if (play.bySecond.size() <= second)
        play.bySecond.resize(second + 1);
    return play.bySecond[second];
}

/** The caller has a final answer, or comes back once after a refusal. */
static void endRequest(load_play& play, std::size_t index, unsigned status, milliseconds retryAfter)
{
    auto& request = play.requests[index];
    if (request.done)
        return;
    const auto took = play.now - request.sent;
    if (status == 200) {
        request.done = true;
        const bool onTime = took <= play.settings.objective;
        ++(onTime ? play.result.onTime : play.result.late);
        play.zones[request.zone].second += onTime ? 1 : 0;
        secondOf(play, request.sent).second += onTime ? 1 : play.settings.lateWorth;
        return;
    }
    if (status == 503 && !request.retried && took + retryAfter < play.settings.patience) {
        request.retried = true;
        after(play, retryAfter, [&play, index] { arriveAtVm(play, index); });
        return;
    }
    request.done = true;
    ++(status == 503 ? play.result.refused : play.result.failed);
    if (status == 503)
        play.result.slowestRefusalMs = std::max(play.result.slowestRefusalMs, static_cast<unsigned>(std::chrono::duration_cast<milliseconds>(took).count()));
}

/** Tells the VM how an attempt ended, after the way back. */
static void reportAttempt(load_play& play, std::size_t endpoint, const attempt_pointer& attempt, bool ran)
{
    const auto& at = play.endpoints[endpoint];
    attempt_ended seen;
    seen.request = attempt->exchange;
    seen.attempt = attempt->attempt;
    seen.outcome = ran ? dispatch_outcome::Whole : dispatch_outcome::Shed;
    seen.status = ran ? 200 : 503;
    seen.loadReported = true;
    seen.running = at.running;
    seen.waiting = static_cast<double>(at.waiting.size());
    seen.slots = play.settings.slots;
    after(play, wayBetween(play, play.vms[attempt->vm].zone, at.zone), [&play, endpoint, attempt, seen, ran] {
        if (play.settings.policy == play_policy::Gate) {
            feed(play, attempt->vm, seen);
            return;
        }
        --play.vms[attempt->vm].inFlight[endpoint];
        after(play, CallerWay, [&play, attempt, ran] { endRequest(play, attempt->request, ran ? 200 : 503, milliseconds(100)); });
    });
}

static const play_fault* faultOf(const load_play& play, const played_endpoint& endpoint)
{
    const auto since = play.now - time_point(seconds(1000));
    for (const auto& fault : play.settings.faults) {
        if (since >= fault.from && since < fault.until && endpoint.index % fault.every == 0)
            return &fault;
    }
    return nullptr;
}

static void endWork(load_play& play, std::size_t index, const attempt_pointer& attempt)
{
    auto& endpoint = play.endpoints[index];
    --endpoint.running;
    if (!attempt->cancelled)
        reportAttempt(play, index, attempt, true);
    while (!endpoint.waiting.empty() && endpoint.running < play.settings.slots) {
        const auto next = endpoint.waiting.front();
        endpoint.waiting.pop_front();
        if (!next->cancelled)
            startWork(play, index, next);
    }
}

static void startWork(load_play& play, std::size_t index, const attempt_pointer& attempt)
{
    auto& endpoint = play.endpoints[index];
    auto& request = play.requests[attempt->request];
    ++endpoint.running;
    if (++request.runs == 2)
        ++play.result.ranTwice;
    const auto known = std::find(endpoint.memory.begin(), endpoint.memory.end(), request.object);
    double work = known == endpoint.memory.end() ? play.settings.coldMs : play.settings.warmMs;
    if (known != endpoint.memory.end())
        endpoint.memory.erase(known);
    endpoint.memory.push_back(request.object);
    if (endpoint.memory.size() > play.settings.remembered)
        endpoint.memory.pop_front();
    work *= 0.85 + 0.3 * draw(play);
    if (const auto* fault = faultOf(play, endpoint))
        work *= fault->slow;
    after(play, std::chrono::microseconds(static_cast<std::int64_t>(work * 1000)), [&play, index, attempt] { endWork(play, index, attempt); });
}

static void arriveAtEndpoint(load_play& play, std::size_t index, const attempt_pointer& attempt)
{
    auto& endpoint = play.endpoints[index];
    ++play.result.arrivals;
    if (attempt->cancelled)
        return;
    const auto* fault = faultOf(play, endpoint);
    if (fault && draw(play) < fault->shed) {
        ++play.result.rejected;
        reportAttempt(play, index, attempt, false);
        return;
    }
    if (endpoint.running < play.settings.slots) {
        startWork(play, index, attempt);
        return;
    }
    if (endpoint.waiting.size() >= play.settings.queue) {
        ++play.result.rejected;
        reportAttempt(play, index, attempt, false);
        return;
    }
    endpoint.waiting.push_back(attempt);
}

static std::size_t endpointNamed(const load_play& play, const std::string& id)
{
    for (std::size_t i = 0; i < play.endpoints.size(); ++i) {
        if (play.endpoints[i].id == id)
            return i;
    }
    return 0;
}

static void carryOut(load_play& play, std::size_t vm, const send_attempt& effect)
{
    auto& from = play.vms[vm];
    const auto attempt = std::make_shared<played_attempt>();
    attempt->vm = vm;
    attempt->exchange = effect.request;
    attempt->attempt = effect.attempt;
    attempt->request = from.requests.at(effect.request);
    from.attempts[effect.attempt] = attempt;
    const auto endpoint = endpointNamed(play, effect.endpoint);
    after(play, wayBetween(play, from.zone, play.endpoints[endpoint].zone), [&play, endpoint, attempt] { arriveAtEndpoint(play, endpoint, attempt); });
}

static void carryOut(load_play& play, std::size_t vm, const relay_response& effect)
{
    const auto request = play.vms[vm].requests.at(effect.request);
    after(play, CallerWay, [&play, request] { endRequest(play, request, 200, milliseconds(0)); });
}

static void carryOut(load_play& play, std::size_t vm, const send_response& effect)
{
    const auto request = play.vms[vm].requests.at(effect.request);
    after(play, CallerWay, [&play, request, effect] { endRequest(play, request, effect.status, effect.retryAfter); });
}

static void carryOut(load_play& play, std::size_t vm, const cancel_attempt& effect)
{
    play.vms[vm].attempts.at(effect.attempt)->cancelled = true;
    attempt_ended seen;
    seen.request = effect.request;
    seen.attempt = effect.attempt;
    seen.outcome = dispatch_outcome::CallerGone;
    after(play, milliseconds(0), [&play, vm, seen] { feed(play, vm, seen); });
}

static void carryOut(load_play& play, std::size_t vm, const set_request_timer& effect)
{
    play.events.push({ effect.at, ++play.made, [&play, vm, id = effect.request] { feed(play, vm, request_timer_expired { id }); } });
}

static void carryOut(load_play&, std::size_t, const drop_connections&) { }
static void carryOut(load_play&, std::size_t, const log_line&) { }

static void feed(load_play& play, std::size_t vm, const gate_event& event)
{
    gate_effects effects;
    reduceGate(play.vms[vm].gate, play.now, event, effects);
    for (const auto& effect : effects)
        std::visit([&](const auto& one) { carryOut(play, vm, one); }, effect);
}

/** The simple policies: an endpoint of the region, nothing refused. */
static void sendSimply(load_play& play, std::size_t vm, std::size_t request)
{
    auto& from = play.vms[vm];
    std::vector<std::size_t> choices;
    for (std::size_t i = 0; i < play.endpoints.size(); ++i) {
        if (wayBetween(play, from.zone, play.endpoints[i].zone) == NearWay)
            choices.push_back(i);
    }
    std::shuffle(choices.begin(), choices.end(), play.draws);
    auto chosen = choices.front();
    for (const auto choice : choices) {
        if (play.settings.policy == play_policy::LeastInFlight && from.inFlight[choice] < from.inFlight[chosen])
            chosen = choice;
    }
    ++from.inFlight[chosen];
    const auto attempt = std::make_shared<played_attempt>();
    attempt->vm = vm;
    attempt->request = request;
    after(play, wayBetween(play, from.zone, play.endpoints[chosen].zone), [&play, chosen, attempt] { arriveAtEndpoint(play, chosen, attempt); });
}

static void arriveAtVm(load_play& play, std::size_t index)
{
    const auto& request = play.requests[index];
    std::vector<std::size_t> choices;
    for (std::size_t i = 0; i < play.vms.size(); ++i) {
        if (wayBetween(play, play.vms[i].zone, request.zone) == NearWay)
            choices.push_back(i);
    }
    const auto vm = choices[play.draws() % choices.size()];
    after(play, CallerWay, [&play, vm, index] {
        if (play.settings.policy != play_policy::Gate) {
            sendSimply(play, vm, index);
            return;
        }
        const auto id = ++play.exchanges;
        play.vms[vm].requests[id] = index;
        request_received seen;
        seen.id = id;
        seen.callerRequestId = "r" + std::to_string(id);
        seen.host = "host";
        seen.target = "/x";
        seen.object = play.requests[index].object;
        seen.callerTimeout = play.settings.patience - std::chrono::duration_cast<milliseconds>(play.now - play.requests[index].sent);
        feed(play, vm, seen);
    });
}

static double burstOf(const load_play& play)
{
    const auto since = play.now - time_point(seconds(1000));
    double burst = 1;
    for (const auto& fault : play.settings.faults)
        burst *= since >= fault.from && since < fault.until ? fault.burst : 1;
    return burst;
}

/** The next request of a zone's callers, and so on. */
static void nextArrival(load_play& play, std::size_t zone)
{
    const auto& rules = play.settings.zones[zone];
    const double gap = -std::log(1 - draw(play)) / (rules.perSecond * play.settings.load * burstOf(play));
    after(play, std::chrono::microseconds(static_cast<std::int64_t>(gap * 1e6)), [&play, zone] {
        if (play.now - time_point(seconds(1000)) >= play.settings.length)
            return;
        played_request request;
        request.zone = zone;
        request.object = play.settings.zones[zone].name + "-" + std::to_string(play.draws() % play.settings.zones[zone].objects);
        request.sent = play.now;
        play.requests.push_back(request);
        ++play.result.asked;
        ++secondOf(play, play.now).first;
        ++play.zones[zone].first;
        arriveAtVm(play, play.requests.size() - 1);
        nextArrival(play, zone);
    });
}

static std::shared_ptr<const route_table> makePlayRoutes(const simulation_settings& settings)
{
    route_config config;
    config.version = 1;
    route only;
    only.name = "played";
    only.host = "host";
    only.prefix = "/";
    only.repeatable = settings.repeatable;
    only.timeout = settings.patience;
    only.objective = settings.objective;
    only.maxAttempts = 2;
    only.affinity = true;
    only.targets = { { "service", 1 } };
    config.routes = { only };
    config.services["service"].name = "service";
    return std::make_shared<const route_table>(makeRouteTable(config));
}

/** Every VM hears of every other one. */
static void tellMembers(load_play& play)
{
    std::vector<member_record> claims;
    for (auto& vm : play.vms) {
        auto& self = vm.gate.members.members.at(vm.gate.self.vm).record;
        ++self.heartbeat;
        claims.push_back(self);
    }
    for (auto& vm : play.vms)
        mergeMemberRecords(vm.gate.members, claims, "all", play.now);
    if (play.now - time_point(seconds(1000)) < play.settings.length)
        after(play, GossipPause, [&play] { tellMembers(play); });
}

static void makeVm(load_play& play, std::size_t zone, unsigned number)
{
    gate_parameters self;
    self.vm = play.settings.zones[zone].name + "-vm-" + std::to_string(number);
    self.ip = self.vm;
    self.zone = play.settings.zones[zone].name;
    self.region = play.settings.zones[zone].region;
    for (const auto& other : play.settings.zones)
        self.regionOfZone[other.name] = other.region;
    self.retryBounds = { 0.2, 64, seconds(10) };
    played_vm vm;
    vm.zone = zone;
    vm.gate = makeGate(self, 1);
    vm.gate.admission = play.settings.admission;
    vm.inFlight.resize(play.endpoints.size());
    play.vms.push_back(std::move(vm));
}

static endpoint_registration entryOf(const load_play& play, const played_endpoint& endpoint)
{
    endpoint_registration entry;
    entry.id = endpoint.id;
    entry.service = "service";
    entry.zone = play.settings.zones[endpoint.zone].name;
    entry.address = "10.0.0.1:1";
    entry.slots = play.settings.slots;
    return entry;
}

/** All VMs see endpoints leave at the start of a fault and come back at its end. */
static void playGone(load_play& play, const play_fault& fault, bool gone)
{
    for (std::size_t vm = 0; vm < play.vms.size(); ++vm) {
        for (const auto& endpoint : play.endpoints) {
            if (endpoint.index % fault.every != 0)
                continue;
            if (gone)
                feed(play, vm, endpoint_removed { endpoint.id });
            else
                feed(play, vm, endpoint_updated { entryOf(play, endpoint) });
        }
    }
}

static void makeWorld(load_play& play)
{
    const auto& zones = play.settings.zones;
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        for (unsigned i = 0; i < zones[zone].endpoints; ++i) {
            played_endpoint endpoint;
            endpoint.id = zones[zone].name + "-e-" + std::to_string(i);
            endpoint.zone = zone;
            endpoint.index = static_cast<unsigned>(play.endpoints.size());
            play.endpoints.push_back(endpoint);
        }
    }
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        for (unsigned i = 0; i < zones[zone].vms; ++i)
            makeVm(play, zone, i);
    }
    const auto routes = makePlayRoutes(play.settings);
    for (std::size_t vm = 0; vm < play.vms.size(); ++vm) {
        feed(play, vm, config_received { routes, 1 });
        for (const auto& endpoint : play.endpoints) {
            feed(play, vm, endpoint_updated { entryOf(play, endpoint) });
        }
        feed(play, vm, endpoints_listed {});
    }
}

play_result simulateLoad(const simulation_settings& settings)
{
    load_play play { settings, time_point(seconds(1000)), {}, 0, 0, std::mt19937(settings.seed), {}, {}, {}, {}, {}, {} };
    play.zones.resize(settings.zones.size());
    makeWorld(play);
    tellMembers(play);
    for (const auto& fault : settings.faults) {
        if (!fault.gone)
            continue;
        after(play, fault.from, [&play, &fault] { playGone(play, fault, true); });
        after(play, fault.until, [&play, &fault] { playGone(play, fault, false); });
    }
    for (std::size_t zone = 0; zone < settings.zones.size(); ++zone)
        nextArrival(play, zone);
    while (!play.events.empty()) {
        const auto next = play.events.top();
        play.events.pop();
        play.now = std::max(play.now, next.at);
        next.run();
    }
    for (const auto& request : play.requests)
        play.result.failed += request.done ? 0 : 1;
    for (const auto& [asked, worth] : play.bySecond)
        play.result.worthBySecond.push_back(asked == 0 ? 1 : worth / asked);
    for (const auto& [asked, onTime] : play.zones)
        play.result.onTimeByZone.push_back(asked == 0 ? 1 : static_cast<double>(onTime) / asked);
    return play.result;
}

} // namespace lhub
