/** @file zone_harness.h Test harness: a few entry VMs whose messages are delivered directly, with injected failures. */
#pragma once

#include "config/config_func.h"
#include "entry/entry_func.h"
#include <set>

namespace lhub {

/** A few entry VMs with one clock. Messages arrive at once, unless a VM is dead, paused, frozen or disconnected. */
struct zone_harness {
    time_point now = time_point(seconds(1000)); ///< Time on the clock of all VMs.
    std::map<std::string, entry_state> vms; ///< By name.
    std::set<std::string> dead; ///< VMs that refuse connections and handle no events.
    std::set<std::string> paused; ///< VMs that handle no events; calls to them fail at once.
    std::set<std::string> frozen; ///< VMs that handle no events; acquires sent to them get no answer, not even an error.
    std::set<std::pair<std::string, std::string>> disconnected; ///< Pairs that cannot reach each other.
    std::set<std::string> loseReplies; ///< VMs whose answers to acquires and take-overs are lost.
    std::vector<std::pair<std::string, dispatch>> dispatched; ///< Dispatches, with the VM that sent them.
    std::vector<std::pair<std::string, answer_caller>> answered; ///< Problem documents, with the VM that sent them.
    std::vector<std::pair<std::string, send_claim>> claims; ///< Claims in the store that were requested, with the VM.
    std::vector<std::pair<std::string, send_unclaim>> unclaims; ///< Claims in the store that were removed, with the VM.
    std::map<std::string, std::string> vmByAddress; ///< Name of the VM by its peer address.
    std::map<std::string, std::string> addressByVm; ///< Peer address by the name of the VM.
    std::uint64_t lastId = 0; ///< Last id given to a request or a call.
    std::map<std::uint64_t, std::pair<std::string, std::string>> acquireCallers; ///< VMs that called and were asked, by call.
    std::map<std::uint64_t, acquire_answered> openAcquires; ///< Answers to fill in and deliver, by call.
    bool recording = true; ///< Whether to keep every event in recorded.
    std::map<std::string, std::vector<timed_event>> recorded; ///< Events by VM, for traces.
    std::vector<acquire_answer> directAnswers; ///< Answers to acquires that a test passed to feed() itself.
    std::uint64_t revision = 0; ///< Last revision of the configuration.
    bool probesSucceed = true; ///< Whether probes are answered: not leaving, nothing in flight.

    void add(const std::string& vm, const std::string& zone)
    {
        vms[vm] = makeEntry(vm, zone, 1);
        const auto address = "127.0.1." + std::to_string(vms.size()) + ":7100";
        vmByAddress[address] = vm;
        addressByVm[vm] = address;
    }

    /** Registers all VMs in the configuration. */
    void registerVms()
    {
        const auto all = addressByVm;
        for (const auto& [vm, address] : all) {
            configure("vm/" + vm,
                { { "name", vm }, { "zone", vms.at(vm).zone }, { "http", "127.0.0.1:80" }, { "peer", address },
                    { "agent", "127.0.0.1:82" }, { "incarnation", 1 } });
        }
    }

    /** Configures @p count endpoints of service "s" in @p zone, named zone-1, zone-2, ... */
    void addEndpoints(const std::string& zone, int count, std::uint32_t slots)
    {
        for (int i = 1; i <= count; ++i) {
            const auto name = zone + "-" + std::to_string(i);
            configure("endpoint/s/" + name,
                { { "service", "s" }, { "name", name }, { "zone", zone }, { "address", "10.0.0.1:80" },
                    { "slots", slots } });
        }
    }

    /** Marks all endpoints as warm. */
    void finishWarmUp()
    {
        for (auto& [name, vm] : vms) {
            for (auto& [service, pool] : vm.pools) {
                for (auto& [endpoint, state] : pool.endpoints)
                    state.cold = false;
            }
        }
    }

    bool reaches(const std::string& from, const std::string& to) const
    {
        return disconnected.count({ from, to }) == 0 && disconnected.count({ to, from }) == 0;
    }

    /** Runs an event through the reducer of @p vm and carries out its effects. */
    void feed(const std::string& vm, entry_event event)
    {
        if (dead.count(vm) > 0 || paused.count(vm) > 0 || frozen.count(vm) > 0)
            return;
        entry_effects effects;
        const timed_event timed { now, std::move(event) };
        if (recording)
            recorded[vm].push_back(timed);
        reduce(vms.at(vm), timed, effects);
        for (const auto& effect : effects)
            carryOut(vm, effect);
    }

    /** Delivers an object of the configuration to every VM that is not listed in @p except. */
    void configure(const std::string& key, const json::object& spec, const std::set<std::string>& except = {})
    {
        const auto value = json::serialize(json::object { { "spec", spec } });
        const keyed_object item { key, { ++revision, false, value } };
        for (auto& [name, vm] : vms) {
            if (except.count(name) == 0)
                feed(name, config_arrived { revision, { item }, milliseconds(0), now });
        }
    }

    /** Tells all VMs that the store has confirmed the configuration now. */
    void confirmConfig()
    {
        for (auto& [name, vm] : vms)
            feed(name, config_arrived { revision, {}, milliseconds(0), now });
    }

    /**
     * Lets time pass, with a tick of every VM each 20 ms.
     * @param confirmed whether the store confirms the configuration at every tick.
     */
    void runFor(milliseconds time, bool confirmed = true)
    {
        constexpr milliseconds Step { 20 };
        for (milliseconds passed { 0 }; passed < time; passed += Step) {
            now += Step;
            if (confirmed)
                confirmConfig();
            for (auto& [name, vm] : vms)
                feed(name, tick {});
        }
    }

    /** Lets a request of a caller arrive at @p vm. @return its id. */
    std::uint64_t sendRequest(const std::string& vm, const std::string& service, const std::string& method = "GET",
        const std::string& key = {})
    {
        const auto id = ++lastId;
        request_arrived event;
        event.request.id = id;
        event.request.requestId = vm + "-" + std::to_string(id);
        event.request.service = service;
        event.request.method = method;
        event.request.key = key;
        feed(vm, std::move(event));
        return id;
    }

    /** Ends the present dispatch of a request. */
    void endDispatch(const std::string& vm, std::uint64_t id, dispatch_outcome how, bool replayable = true)
    {
        feed(vm, dispatch_ended { id, how, replayable, false });
    }

    /** Names of the VMs, dead ones left out, that act as owner of the service's pool. */
    std::vector<std::string> owners(const std::string& service) const
    {
        std::vector<std::string> names;
        for (const auto& [name, vm] : vms) {
            const auto pool = vm.pools.find(service);
            if (dead.count(name) == 0 && pool != vm.pools.end() && pool->second.role == pool_role::Owner)
                names.push_back(name);
        }
        return names;
    }

private:
    /** Whether a call reaches @p to; a dead VM refuses the connection, which @p from is told. */
    bool tryConnect(const std::string& from, const std::string& to)
    {
        if (!reaches(from, to) || paused.count(to) > 0 || frozen.count(to) > 0)
            return false;
        if (dead.count(to) == 0)
            return true;
        feed(from, peer_refused { to });
        return false;
    }

    /** What the VM says of itself in heartbeats. */
    peer_state reportOf(const std::string& vm) const
    {
        const auto& state = vms.at(vm);
        peer_state report;
        report.vm = vm;
        report.address = addressByVm.at(vm);
        report.incarnation = state.members.incarnation;
        report.leaving = state.members.leaving;
        for (const auto& [service, pool] : state.pools) {
            if (pool.role == pool_role::Owner)
                report.owned[service] = pool.epoch;
        }
        return report;
    }

    void carryOut(const std::string& from, const entry_effect& effect)
    {
        if (const auto* heartbeat = std::get_if<send_heartbeat>(&effect)) {
            if (!tryConnect(from, heartbeat->vm))
                return;
            feed(heartbeat->vm, heartbeat_arrived { reportOf(from) });
            feed(from, heartbeat_answered { reportOf(heartbeat->vm), now });
        } else if (const auto* acquire = std::get_if<send_acquire>(&effect)) {
            deliverAcquire(from, *acquire);
        } else if (const auto* reply = std::get_if<reply_acquire>(&effect)) {
            deliverAcquireAnswer(*reply);
        } else if (const auto* release = std::get_if<send_release>(&effect)) {
            const bool reached = tryConnect(from, release->vm);
            if (reached)
                feed(release->vm, release->release);
            feed(from, release_answered { release->release.reservation, reached });
        } else if (const auto* takeOver = std::get_if<send_take_over>(&effect)) {
            if (tryConnect(from, takeOver->vm)) {
                asker = from;
                feed(takeOver->vm, take_over_arrived { 0, takeOver->service, from });
            }
            askedService = takeOver->service;
        } else if (const auto* handed = std::get_if<reply_take_over>(&effect)) {
            if (loseReplies.count(from) == 0)
                delayedAnswers.push_back({ asker, take_over_answered { {}, from, handed->handedOver, handed->epoch, handed->reservations } });
        } else if (const auto* held = std::get_if<send_held>(&effect)) {
            if (tryConnect(from, held->vm)) {
                asker = from;
                askedService = held->service;
                feed(held->vm, held_arrived { 0, held->service });
            }
        } else if (const auto* rows = std::get_if<reply_held>(&effect)) {
            feed(asker, held_answered { askedService, from, rows->reservations });
        } else if (const auto* credit = std::get_if<send_credit>(&effect)) {
            const auto to = vmByAddress.at(credit->address);
            if (tryConnect(from, to)) {
                asker = from;
                askedCredit = *credit;
                feed(to, credit_arrived { 0, credit->service, vms.at(from).zone, credit->wanted });
            }
        } else if (const auto* granted = std::get_if<reply_credit>(&effect)) {
            feed(asker,
                credit_answered { askedCredit.service, askedCredit.zone, granted->owner, granted->granted,
                    granted->valid, now });
        } else if (const auto* lend = std::get_if<send_lend>(&effect)) {
            const auto to = vmByAddress.at(lend->address);
            if (tryConnect(from, to)) {
                asker = from;
                askedLoan = *lend;
                feed(to, lend->request);
            }
        } else if (const auto* lent = std::get_if<reply_lend>(&effect)) {
            feed(asker,
                lend_answered { askedLoan.request.service, lent->shift, askedLoan.lender, lent->owner, lent->granted,
                    lent->valid, askedLoan.request.capPerSecond, now });
        } else if (const auto* keyClaim = std::get_if<send_key_claim>(&effect)) {
            deliverKeyClaim(from, *keyClaim);
        } else if (const auto* keyReply = std::get_if<reply_key_claim>(&effect)) {
            feed(asker, claim_answered { claimingRequest, keyReply->result, 0, keyReply->known });
        } else if (const auto* settled = std::get_if<send_key_settled>(&effect)) {
            const auto to = vmByAddress.at(settled->address);
            if (tryConnect(from, to))
                feed(to, settled->settled);
        } else if (const auto* probe = std::get_if<send_probe>(&effect)) {
            if (probesSucceed)
                feed(from, probe_ended { probe->service, probe->endpoint, true, false, 0 });
        } else if (const auto* sent = std::get_if<dispatch>(&effect)) {
            dispatched.emplace_back(from, *sent);
        } else if (const auto* answer = std::get_if<answer_caller>(&effect)) {
            answered.emplace_back(from, *answer);
        } else if (const auto* claim = std::get_if<send_claim>(&effect)) {
            claims.emplace_back(from, *claim);
        } else if (const auto* unclaim = std::get_if<send_unclaim>(&effect)) {
            unclaims.emplace_back(from, *unclaim);
        }
        deliverDelayed();
    }

    void deliverKeyClaim(const std::string& from, const send_key_claim& claim)
    {
        const auto to = vmByAddress.at(claim.address);
        if (!tryConnect(from, to)) {
            feed(from, claim_answered { claim.id, claim_result::Unknown, 0, verdict::MayHaveRun });
            return;
        }
        asker = from;
        claimingRequest = claim.id;
        feed(to, key_claim_arrived { 0, claim.key, claim.requestId });
    }

    void deliverAcquire(const std::string& from, const send_acquire& acquire)
    {
        if (frozen.count(acquire.vm) > 0)
            return;
        if (!tryConnect(from, acquire.vm)) {
            feed(from, acquire_answered { acquire.service, acquire.vm, false, { acquire.request.callId } });
            return;
        }
        const auto call = RemoteCallBit | ++lastId;
        acquireCallers[call] = { from, acquire.vm };
        openAcquires[call] = { acquire.service, acquire.vm, true, { acquire.request.callId } };
        auto request = acquire.request;
        request.callId = call;
        feed(acquire.vm, acquire_arrived { acquire.service, request });
    }

    void deliverAcquireAnswer(const reply_acquire& reply)
    {
        const auto call = reply.answer.callId;
        auto event = openAcquires[call];
        const auto id = event.answer.callId;
        event.answer = reply.answer;
        event.answer.callId = id;
        const auto [caller, owner] = acquireCallers[call];
        if (caller.empty())
            directAnswers.push_back(reply.answer);
        else if (loseReplies.count(owner) == 0)
            feed(caller, event);
    }

    void deliverDelayed()
    {
        const auto waiting = std::exchange(delayedAnswers, {});
        for (auto [to, event] : waiting) {
            event.service = askedService;
            feed(to, event);
        }
    }

    std::string asker; ///< VM that made the call which is being answered.
    std::uint64_t claimingRequest = 0; ///< Request whose key is being claimed at its home.
    std::string askedService; ///< Service of the last take-over or recovery call.
    send_lend askedLoan; ///< Loan request that is being answered.
    send_credit askedCredit; ///< Credit request that is being answered.
    std::vector<std::pair<std::string, take_over_answered>> delayedAnswers; ///< Take-over answers that wait for delivery.
};

/** Two VMs in zone "a" of region "r", and endpoints of service "s" there. They have no owner before run(). */
inline zone_harness makeZone(int endpoints, std::uint32_t slots = 3)
{
    zone_harness zone;
    zone.add("vm1", "a");
    zone.add("vm2", "a");
    zone.configure("place/a", { { "zone", "a" }, { "region", "r" } });
    zone.configure("service/s", { { "name", "s" }, { "deadline_ms", 2000 } });
    zone.addEndpoints("a", endpoints, slots);
    zone.registerVms();
    return zone;
}

} // namespace lhub
