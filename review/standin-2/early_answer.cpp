/** @file early_answer.cpp Upstreams answer uploads before they have read them, keep the connection and read on. */
#include "world.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

    /** An upload, as its client saw it. */
    struct upload_record {
        std::string id;
        std::string body;
        unsigned status = 0;
        bool stamped = false; ///< The complete answer has X-Server-Stamp.
    };

    struct traffic_state {
        std::mutex mutex;
        std::vector<upload_record> uploads;
        std::atomic<bool> ended { false };
    };

} // namespace

static constexpr std::size_t UploadBytes = 8'000'000; ///< The limit of the configuration is 67,108,864.
static constexpr double ReadsBodyAfterS = 0.3;

/** A body in which each part can be told from the others. */
static std::string makeBody(const std::string& id)
{
    std::string body;
    body.reserve(UploadBytes);
    for (unsigned line = 0; body.size() < UploadBytes; ++line)
        body += id + " " + std::to_string(line) + "\n";
    body.resize(UploadBytes);
    return body;
}

static void runClient(const deployment& world, traffic_state& traffic, unsigned number)
{
    const auto& gate = world.gates[number % world.gates.size()];
    std::unique_ptr<connection> to;
    while (!traffic.ended) {
        if (!to || !to->isOpen())
            to = connectTo(frontOf(world, gate), 1);
        upload_record record;
        record.id = newRequestId();
        record.body = makeBody(record.id);
        if (to->isOpen()) {
            (void)writeAll(*to, requestText("/upload/x", record.id, 4000, record.body));
            const auto answer = readAnswer(*to, 6);
            record.status = answer.result == client_result::Answered ? answer.status : 0;
            record.stamped = !answer.response.field("X-Server-Stamp").empty();
            if (answer.result != client_result::Answered || answer.response.field("Connection") == "close")
                to.reset();
        }
        {
            const std::lock_guard lock(traffic.mutex);
            traffic.uploads.push_back(std::move(record));
        }
        sleepUntil(secondsNow() + 0.5);
    }
}

/** What arrived of an upload, over all upstreams that ran it; the longest if there are several. Waits for its end. */
static std::string receivedBody(const deployment& world, const std::string& id, unsigned& runs)
{
    std::string longest;
    runs = 0;
    for (const auto& upstream : world.upstreams) {
        const std::lock_guard lock(upstream->mutex);
        for (const auto& run : upstream->runs) {
            if (run.requestId != id)
                continue;
            ++runs;
            longest = run.body.size() > longest.size() ? run.body : longest;
        }
    }
    return longest;
}

int runEarlyAnswer()
{
    const auto world = makeDeployment(2);
    for (const auto& upstream : world->upstreams) {
        upstream->keepsBodies = true;
        if (isTroubled())
            upstream->readsBodyAfterS = ReadsBodyAfterS;
    }
    writeConfig(*world, 1, routeRow("upload", "/upload/", "upload", 4000, 2000, 2), 67'108'864);
    for (auto& gate : world->gates)
        startGate(*world, gate, true);
    if (!awaitReady(*world, 15))
        finish(*world, 2);
    note("all gates are ready");
    sleepUntil(secondsNow() + 5);
    note(isTroubled() ? "clients start; upstreams answer uploads when they have read the head, and read the body 0.3 s later" : "clients start; upstreams read uploads before they answer");
    traffic_state traffic;
    for (unsigned i = 0; i < 3; ++i)
        std::thread([&world, &traffic, i] { runClient(*world, traffic, i); }).detach();
    sleepUntil(secondsNow() + 8);
    traffic.ended = true;
    sleepUntil(secondsNow() + 12); // Upstreams wait up to 10 s for the rest of a body.
    const std::lock_guard lock(traffic.mutex);
    unsigned succeeded = 0;
    unsigned changed = 0;
    for (const auto& upload : traffic.uploads) {
        const bool success = upload.status == 200 && upload.stamped;
        succeeded += success ? 1 : 0;
        unsigned runs = 0;
        const auto received = receivedBody(*world, upload.id, runs);
        const bool same = received == upload.body;
        note("upload " + upload.id + ": client got " + std::to_string(upload.status) + (upload.stamped ? " with a stamp" : "") + ", sent " + std::to_string(upload.body.size()) + " bytes; run " + std::to_string(runs)
            + " times, its upstream got " + std::to_string(received.size()) + " bytes" + (same ? "" : ", not the body that was sent"));
        changed += success && runs > 0 && !same ? 1 : 0;
    }
    note("uploads: " + std::to_string(traffic.uploads.size()) + ", answered with success: " + std::to_string(succeeded) + ", of these run with another body than was sent: " + std::to_string(changed));
    if (succeeded < 6)
        finish(*world, 2);
    finish(*world, changed > 0 ? 1 : 0);
}

} // namespace review
