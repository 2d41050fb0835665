/** @file unreadable_entry.cpp An entry whose bytes cannot be read lies among the servers; then all processes are killed and start again. */
#include "world.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

    struct outcome_counts {
        std::atomic<unsigned> sent { 0 };
        std::atomic<unsigned> served { 0 };
    };

    /** Counts of the requests sent before the final fault, and later than recovery_s after the processes are back. */
    struct traffic_state {
        outcome_counts before;
        outcome_counts after;
        std::atomic<double> faultAt { 1e9 };
        std::atomic<double> backAt { 1e9 };
        std::atomic<bool> ended { false };
    };

} // namespace

static constexpr double RecoveryS = 15; ///< recovery_s.

/** One client: a new connection for each request, alternately an idempotent one and one that is not, to each gate in turn. */
static void runClient(const deployment& world, traffic_state& traffic, unsigned number)
{
    for (unsigned i = number; !traffic.ended; ++i) {
        const auto& gate = world.gates[i % world.gates.size()];
        const double sentAt = secondsNow();
        client_answer answer;
        answer.result = client_result::NotConnected;
        const auto to = connectTo(frontOf(world, gate), 1);
        const bool isRead = i / world.gates.size() % 2 == 0;
        if (to->isOpen() && writeAll(*to, requestText(isRead ? "/read/x" : "/write/x", newRequestId(), 2000, isRead ? "" : "a booking")))
            answer = readAnswer(*to, 3);
        const bool served = answer.result == client_result::Answered && answer.status == 200;
        auto* counts = sentAt < traffic.faultAt ? &traffic.before : (sentAt > traffic.backAt + RecoveryS ? &traffic.after : nullptr);
        if (counts) {
            ++counts->sent;
            counts->served += served ? 1 : 0;
        }
        sleepUntil(secondsNow() + 0.1);
    }
}

int runUnreadableEntry()
{
    const auto world = makeDeployment(2);
    const auto routes = routeRow("read", "/read/", "idempotent", 2000, 400, 2) + "," + routeRow("write", "/write/", "non_idempotent", 2500, 400, 2);
    writeConfig(*world, 1, routes, 67'108'864);
    for (auto& gate : world->gates)
        startGate(*world, gate, true);
    if (!awaitReady(*world, 15))
        finish(*world, 2);
    note("all gates are ready; clients start");
    traffic_state traffic;
    for (unsigned i = 0; i < 6; ++i)
        std::thread([&world, &traffic, i] { runClient(*world, traffic, i); }).detach();
    sleepUntil(secondsNow() + 3);
    if (isTroubled()) {
        // A string with bytes that are no text, as writers of JSON escape them.
        const char* variant = std::getenv("VARIANT");
        const bool nested = variant && std::string(variant) == "nested";
        const std::string unreadable = nested ? "{\"info\":" + std::string(40, '[') + std::string(40, ']') + "}" : R"("\udcff\udcfe\udc80")";
        putObject(*world->store, "servers", "i-foreign", unreadable);
        note("another writer wrote servers/i-foreign: " + unreadable);
    }
    sleepUntil(secondsNow() + 5);
    writeConfig(*world, 2, routes + "," + routeRow("more", "/more/", "idempotent", 2000, 400, 2), 67'108'864);
    note("configuration 2 acknowledged; all processes are killed");
    traffic.faultAt = secondsNow();
    for (auto& gate : world->gates)
        killGate(gate);
    sleepUntil(secondsNow() + 0.5);
    for (auto& gate : world->gates)
        startGate(*world, gate, false);
    traffic.backAt = secondsNow();
    note("all processes are started again");
    sleepUntil(traffic.backAt + RecoveryS);
    for (const auto& gate : world->gates)
        note(gate.name + (isReady(*world, gate) ? " is ready" : " is not ready"));
    sleepUntil(traffic.backAt + RecoveryS + 6);
    traffic.ended = true;
    sleepUntil(secondsNow() + 4);
    note("before the fault: sent " + std::to_string(traffic.before.sent) + ", served " + std::to_string(traffic.before.served));
    note("later than recovery_s after the processes were back: sent " + std::to_string(traffic.after.sent) + ", served " + std::to_string(traffic.after.served));
    if (traffic.before.sent < 20 || traffic.after.sent < 20 || traffic.before.served * 4 < traffic.before.sent)
        finish(*world, 2);
    finish(*world, traffic.after.served * 4 < traffic.after.sent ? 1 : 0);
}

} // namespace review
