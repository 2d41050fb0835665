/** @file limits_before_config.cpp Connections that a gate accepted before it knew its configuration are used again later. */
#include "world.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

    struct traffic_state {
        std::mutex mutex;
        std::map<unsigned, unsigned> statuses; ///< Of the uploads on kept connections: how often each status came.
        std::atomic<unsigned> requests { 0 };
        std::atomic<unsigned> denied { 0 };
        std::atomic<unsigned> onNew { 0 }; ///< Uploads on new connections.
        std::atomic<unsigned> servedOnNew { 0 };
        std::atomic<unsigned> ready { 0 }; ///< Clients that hold a connection.
        std::atomic<double> connectFrom { 1e9 };
        std::atomic<double> uploadAt { 1e9 };
    };

} // namespace

static constexpr std::size_t UploadBytes = 2'000'000; ///< The limit of the configuration is 67,108,864.

/** Waits until the time that another thread sets, 1e9 before. */
static void awaitTime(const std::atomic<double>& at)
{
    while (secondsNow() < at)
        sleepUntil(secondsNow() + 0.005);
}

/** Sends an upload and reads the answer. @return the status; 0 without one. */
static unsigned upload(connection& to, traffic_state& traffic)
{
    ++traffic.requests;
    const auto text = requestText("/upload/x", newRequestId(), 4000, std::string(UploadBytes, 'u'));
    (void)writeAll(to, text); // The answer may come before all is written.
    return readAnswer(to, 5).status;
}

/** One client: makes a connection as soon as its gate accepts one, reads something, and uses the connection again for an upload later. */
static void runClient(const deployment& world, traffic_state& traffic, unsigned number)
{
    const auto& gate = world.gates[number % world.gates.size()];
    awaitTime(traffic.connectFrom);
    std::unique_ptr<connection> to;
    double until = secondsNow() + 5;
    while ((!to || !to->isOpen()) && secondsNow() < until) {
        sleepUntil(secondsNow() + 0.02);
        to = connectTo(frontOf(world, gate), 1);
    }
    if (!to || !to->isOpen())
        return;
    ++traffic.requests;
    if (!writeAll(*to, requestText("/read/x", newRequestId(), 2000, "")))
        return;
    const auto first = readAnswer(*to, 3);
    if (first.result != client_result::Answered || first.response.field("Connection") == "close")
        return;
    ++traffic.ready;
    awaitTime(traffic.uploadAt);
    const auto status = upload(*to, traffic);
    traffic.denied += status == 413 || status == 431 || status == 400 ? 1 : 0;
    {
        const std::lock_guard lock(traffic.mutex);
        ++traffic.statuses[status];
    }
    const auto fresh = connectTo(frontOf(world, gate), 1);
    if (!fresh->isOpen())
        return;
    ++traffic.onNew;
    traffic.servedOnNew += upload(*fresh, traffic) == 200 ? 1 : 0;
}

int runLimitsBeforeConfig()
{
    const auto world = makeDeployment(2);
    writeConfig(*world, 1, routeRow("read", "/read/", "idempotent", 2000, 400, 2) + "," + routeRow("upload", "/upload/", "upload", 4000, 2000, 2), 67'108'864);
    for (auto& gate : world->gates)
        startGate(*world, gate, true);
    if (!awaitReady(*world, 15))
        finish(*world, 2);
    note("all gates are ready");
    sleepUntil(secondsNow() + 4);
    traffic_state traffic;
    for (unsigned i = 0; i < 24; ++i)
        std::thread([&world, &traffic, i] { runClient(*world, traffic, i); }).detach();
    traffic.connectFrom = secondsNow();
    if (isTroubled()) {
        for (auto& gate : world->gates)
            killGate(gate);
        note("all processes are killed");
        traffic.connectFrom = secondsNow();
        sleepUntil(secondsNow() + 0.5);
        for (auto& gate : world->gates)
            startGate(*world, gate, false);
        note("all processes are started again");
    }
    if (!awaitReady(*world, 15))
        finish(*world, 2);
    note("all gates are ready");
    sleepUntil(secondsNow() + 6); // stability_ms is 4,000: all gates are in touch.
    note(std::to_string(traffic.ready) + " clients hold a connection; they upload " + std::to_string(UploadBytes) + " bytes each");
    traffic.uploadAt = secondsNow();
    sleepUntil(secondsNow() + 10);
    {
        const std::lock_guard lock(traffic.mutex);
        for (const auto& [status, count] : traffic.statuses)
            note("uploads on kept connections with status " + std::to_string(status) + ": " + std::to_string(count));
    }
    note("uploads on new connections: " + std::to_string(traffic.onNew) + ", served: " + std::to_string(traffic.servedOnNew));
    note("requests: " + std::to_string(traffic.requests) + ", proper ones ended with a 4xx of a gate: " + std::to_string(traffic.denied) + ", allowed: 5 and one in 500");
    if (traffic.ready < 12 || traffic.onNew < 12)
        finish(*world, 2);
    finish(*world, traffic.denied > 5 + traffic.requests / 500 ? 1 : 0);
}

} // namespace review
