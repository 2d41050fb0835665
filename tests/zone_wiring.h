/** @file zone_wiring.h A few reducers side by side, their messages handed over by hand. One failure a test. */
#pragma once

#include "config/config_func.h"
#include "entry/entry_func.h"
#include <set>

namespace lhub {

/** A handful of entry VMs with one clock. Messages arrive at once unless a VM is dead, paused or cut off. */
struct zone_wiring {
    time_point now = time_point(seconds(1000)); ///< Present time of all VMs.
    std::map<std::string, entry_state> vms; ///< By name.
    std::set<std::string> dead; ///< Refuse connections.
    std::set<std::string> paused; ///< Accept connections, never answer.
    std::set<std::string> stall; ///< Frozen: calls to them get no answer at all, not even an error.
    std::set<std::pair<std::string, std::string>> cut; ///< Pairs that cannot reach each other.
    std::set<std::string> loseReplies; ///< VMs whose answers to acquires and take-overs are lost.
    std::vector<std::pair<std::string, dispatch>> dispatched; ///< What was sent to endpoints or other VMs.
    std::vector<std::pair<std::string, answer_caller>> answered; ///< Refusals.
    std::vector<std::pair<std::string, send_claim>> claims; ///< Claims asked for.
    std::vector<std::pair<std::string, send_unclaim>> unclaims; ///< Claims given back.
    std::map<std::string, std::string> vmAt; ///< VM by its peer address.
    std::map<std::string, std::string> addressOf; ///< Peer address by VM.
    std::uint64_t lastId = 0; ///< Of requests and calls.
    std::map<std::uint64_t, std::pair<std::string, std::string>> callers; ///< Caller and owner of open acquires.
    std::map<std::uint64_t, acquire_answered> open; ///< Answers still to come, by call.
    bool recording = true; ///< Keep every event.
    std::map<std::string, std::vector<timed_event>> recorded; ///< By VM, when recording.
    std::vector<acquire_answer> stray; ///< Answers to acquires that a test fed by hand.
    std::uint64_t revision = 0; ///< Of the configuration.
    bool probesAnswer = true; ///< Endpoints answer probes as idle.

    void add(const std::string& vm, const std::string& zone)
    {
        vms[vm] = makeEntry(vm, zone, 1);
        const auto address = "127.0.1." + std::to_string(vms.size()) + ":7100";
        vmAt[address] = vm;
        addressOf[vm] = address;
    }

    /** Registers all VMs in the configuration. */
    void registerVms()
    {
        const auto all = addressOf;
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

    /** Ends the warm-up of all endpoints. */
    void warm()
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
        return cut.count({ from, to }) == 0 && cut.count({ to, from }) == 0;
    }

    void feed(const std::string& vm, entry_event event)
    {
        if (dead.count(vm) > 0 || paused.count(vm) > 0 || stall.count(vm) > 0)
            return;
        entry_effects effects;
        const timed_event timed { now, std::move(event) };
        if (recording)
            recorded[vm].push_back(timed);
        reduce(vms.at(vm), timed, effects);
        for (const auto& effect : effects)
            carryOut(vm, effect);
    }

    /** Gives an object to every living VM that is not listed in @p except. */
    void configure(const std::string& key, const json::object& spec, const std::set<std::string>& except = {})
    {
        const auto value = json::serialize(json::object { { "spec", spec } });
        const keyed_object item { key, { ++revision, false, value } };
        for (auto& [name, vm] : vms) {
            if (except.count(name) == 0)
                feed(name, config_arrived { revision, { item }, milliseconds(0), now });
        }
    }

    /** The store confirms the configuration again. */
    void confirm()
    {
        for (auto& [name, vm] : vms)
            feed(name, config_arrived { revision, {}, milliseconds(0), now });
    }

    /** Lets time pass in ticks. */
    void run(milliseconds time, bool confirmed = true)
    {
        constexpr milliseconds Step { 20 };
        for (milliseconds passed { 0 }; passed < time; passed += Step) {
            now += Step;
            if (confirmed)
                confirm();
            for (auto& [name, vm] : vms)
                feed(name, tick {});
        }
    }

    std::uint64_t request(const std::string& vm, const std::string& service, const std::string& method = "GET",
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

    void end(const std::string& vm, std::uint64_t id, dispatch_outcome how, bool replayable = true)
    {
        feed(vm, dispatch_ended { id, how, replayable, false });
    }

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
    bool knock(const std::string& from, const std::string& to)
    {
        if (!reaches(from, to) || paused.count(to) > 0 || stall.count(to) > 0)
            return false;
        if (dead.count(to) == 0)
            return true;
        feed(from, peer_refused { to });
        return false;
    }

    peer_state describe(const std::string& vm) const
    {
        const auto& state = vms.at(vm);
        peer_state said;
        said.vm = vm;
        said.address = addressOf.at(vm);
        said.incarnation = state.members.incarnation;
        said.leaving = state.members.leaving;
        for (const auto& [service, pool] : state.pools) {
            if (pool.role == pool_role::Owner)
                said.owned[service] = pool.epoch;
        }
        return said;
    }

    void carryOut(const std::string& from, const entry_effect& effect)
    {
        if (const auto* heartbeat = std::get_if<send_heartbeat>(&effect)) {
            if (!knock(from, heartbeat->vm))
                return;
            feed(heartbeat->vm, heartbeat_arrived { describe(from) });
            feed(from, heartbeat_answered { describe(heartbeat->vm), now });
        } else if (const auto* acquire = std::get_if<send_acquire>(&effect)) {
            carryAcquire(from, *acquire);
        } else if (const auto* reply = std::get_if<reply_acquire>(&effect)) {
            answerAcquire(*reply);
        } else if (const auto* release = std::get_if<send_release>(&effect)) {
            const bool reached = knock(from, release->vm);
            if (reached)
                feed(release->vm, release->release);
            feed(from, release_answered { release->release.reservation, reached });
        } else if (const auto* takeOver = std::get_if<send_take_over>(&effect)) {
            if (knock(from, takeOver->vm)) {
                asking = from;
                feed(takeOver->vm, take_over_arrived { 0, takeOver->service, from });
            }
            serviceAsked = takeOver->service;
        } else if (const auto* handed = std::get_if<reply_take_over>(&effect)) {
            if (loseReplies.count(from) == 0)
                later.push_back({ asking, take_over_answered { {}, from, handed->handedOver, handed->epoch, handed->reservations } });
        } else if (const auto* held = std::get_if<send_held>(&effect)) {
            if (knock(from, held->vm)) {
                asking = from;
                serviceAsked = held->service;
                feed(held->vm, held_arrived { 0, held->service });
            }
        } else if (const auto* rows = std::get_if<reply_held>(&effect)) {
            feed(asking, held_answered { serviceAsked, from, rows->reservations });
        } else if (const auto* credit = std::get_if<send_credit>(&effect)) {
            const auto to = vmAt.at(credit->address);
            if (knock(from, to)) {
                asking = from;
                creditAsked = *credit;
                feed(to, credit_arrived { 0, credit->service, vms.at(from).zone, credit->wanted });
            }
        } else if (const auto* granted = std::get_if<reply_credit>(&effect)) {
            feed(asking,
                credit_answered { creditAsked.service, creditAsked.zone, granted->owner, granted->granted,
                    granted->valid, now });
        } else if (const auto* lend = std::get_if<send_lend>(&effect)) {
            const auto to = vmAt.at(lend->address);
            if (knock(from, to)) {
                asking = from;
                lendAsked = *lend;
                feed(to, lend->request);
            }
        } else if (const auto* lent = std::get_if<reply_lend>(&effect)) {
            feed(asking,
                lend_answered { lendAsked.request.service, lent->shift, lendAsked.lender, lent->owner, lent->granted,
                    lent->valid, lendAsked.request.capPerSecond, now });
        } else if (const auto* keyClaim = std::get_if<send_key_claim>(&effect)) {
            carryKeyClaim(from, *keyClaim);
        } else if (const auto* keyReply = std::get_if<reply_key_claim>(&effect)) {
            feed(asking, claim_answered { idAsked, keyReply->result, 0, keyReply->known });
        } else if (const auto* settled = std::get_if<send_key_settled>(&effect)) {
            const auto to = vmAt.at(settled->address);
            if (knock(from, to))
                feed(to, settled->settled);
        } else if (const auto* probe = std::get_if<send_probe>(&effect)) {
            if (probesAnswer)
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
        deliverLater();
    }

    void carryKeyClaim(const std::string& from, const send_key_claim& claim)
    {
        const auto to = vmAt.at(claim.address);
        if (!knock(from, to)) {
            feed(from, claim_answered { claim.id, claim_result::Unknown, 0, verdict::MayHaveRun });
            return;
        }
        asking = from;
        idAsked = claim.id;
        feed(to, key_claim_arrived { 0, claim.key, claim.requestId });
    }

    void carryAcquire(const std::string& from, const send_acquire& acquire)
    {
        if (stall.count(acquire.vm) > 0)
            return;
        if (!knock(from, acquire.vm)) {
            feed(from, acquire_answered { acquire.service, acquire.vm, false, { acquire.request.callId } });
            return;
        }
        const auto call = RemoteCallBit | ++lastId;
        callers[call] = { from, acquire.vm };
        open[call] = { acquire.service, acquire.vm, true, { acquire.request.callId } };
        auto request = acquire.request;
        request.callId = call;
        feed(acquire.vm, acquire_arrived { acquire.service, request });
    }

    void answerAcquire(const reply_acquire& reply)
    {
        const auto call = reply.answer.callId;
        auto event = open[call];
        const auto id = event.answer.callId;
        event.answer = reply.answer;
        event.answer.callId = id;
        const auto [caller, owner] = callers[call];
        if (caller.empty())
            stray.push_back(reply.answer);
        else if (loseReplies.count(owner) == 0)
            feed(caller, event);
    }

    void deliverLater()
    {
        const auto waiting = std::exchange(later, {});
        for (auto [to, event] : waiting) {
            event.service = serviceAsked;
            feed(to, event);
        }
    }

    std::string asking; ///< Who made the call that is being answered.
    std::uint64_t idAsked = 0; ///< Request whose key is being claimed.
    std::string serviceAsked; ///< Service of that call.
    send_lend lendAsked; ///< The request for a loan that is being answered.
    send_credit creditAsked; ///< The credit call that is being answered.
    std::vector<std::pair<std::string, take_over_answered>> later; ///< Answers to hand over next.
};

/** Two VMs in zone "a" of region "r", and @p endpoints endpoints of service "s" there, all warm after run(). */
inline zone_wiring makeZone(int endpoints, std::uint32_t slots = 3)
{
    zone_wiring zone;
    zone.add("vm1", "a");
    zone.add("vm2", "a");
    zone.configure("place/a", { { "zone", "a" }, { "region", "r" } });
    zone.configure("service/s", { { "name", "s" }, { "deadline_ms", 2000 } });
    zone.addEndpoints("a", endpoints, slots);
    zone.registerVms();
    return zone;
}

} // namespace lhub
