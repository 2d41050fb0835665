/** @file broken_pipeline.cpp Clients send idempotent requests behind a download; a part of the downloads is broken off by their upstreams. */
#include "world.h"

#include <algorithm>
#include <set>
#include <thread>

namespace review {

namespace {

    /** A read that was sent behind a download. */
    struct piped_read {
        std::string id;
        bool onKeptConnection = false; ///< Its connection had answered requests before.
        bool answered = false;
        double sentAt = 0;
    };

    struct traffic_state {
        std::mutex mutex;
        std::vector<piped_read> reads;
        std::atomic<bool> ended { false };
        std::atomic<unsigned> downloads { 0 };
        std::atomic<unsigned> downloadsCut { 0 };
    };

} // namespace

static constexpr std::size_t DownloadBytes = 240'000; ///< Downloads of the site have up to 540,000.
static constexpr double GarbleShare = 0.35; ///< Of the upstreams of the downloads.
static constexpr unsigned GarbleEvery = 50; ///< x = 0.02: one of so many answers is broken off.
static constexpr double GarbleForS = 5.5;
static constexpr unsigned ReadsBehind = 3;

/** One round on a kept connection: a download with reads behind it. @return whether the connection can be used again. */
static bool runRound(connection& to, traffic_state& traffic, bool isKept)
{
    std::vector<piped_read> reads;
    std::string text = requestText("/bundle/x", newRequestId(), 1500, "");
    const double sentAt = secondsNow();
    for (unsigned i = 0; i < ReadsBehind; ++i) {
        reads.push_back({ newRequestId(), isKept, false, sentAt });
        text += requestText("/read/" + std::to_string(i), reads.back().id, 2000, "");
    }
    ++traffic.downloads;
    bool usable = writeAll(to, text);
    if (usable) {
        const auto download = readAnswer(to, 3);
        usable = download.result == client_result::Answered;
        traffic.downloadsCut += usable ? 0 : 1;
    }
    for (auto& read : reads) {
        usable = usable && readAnswer(to, 3).result == client_result::Answered;
        read.answered = usable;
    }
    const std::lock_guard lock(traffic.mutex);
    traffic.reads.insert(traffic.reads.end(), reads.begin(), reads.end());
    return usable;
}

static void runClient(const deployment& world, traffic_state& traffic, unsigned number)
{
    const auto& gate = world.gates[number % world.gates.size()];
    while (!traffic.ended) {
        const auto to = connectTo(frontOf(world, gate), 1);
        bool usable = to->isOpen();
        for (unsigned round = 0; usable && !traffic.ended; ++round) {
            usable = runRound(*to, traffic, round > 0);
            sleepUntil(secondsNow() + 0.02);
        }
        sleepUntil(secondsNow() + 0.05);
    }
}

int runBrokenPipeline()
{
    const auto world = makeDeployment(2);
    std::atomic<bool> garbles { false };
    std::atomic<unsigned> brokenOff { 0 };
    std::vector<std::shared_ptr<upstream_standin>> archives;
    for (unsigned i = 0; i < 6; ++i) {
        auto upstream = startUpstream(world->ipPrefix + std::to_string(151 + i), "d-" + std::to_string(i), "s1", world->gates[i % world->gates.size()].zone);
        upstream->answerBytes = [](const std::string&) { return DownloadBytes; };
        const auto answers = std::make_shared<std::atomic<unsigned>>(0);
        if (i < static_cast<unsigned>(GarbleShare * 6 + 0.5)) {
            upstream->breaksOff = [&, answers](const std::string&) {
                const bool breaks = garbles && ++*answers % GarbleEvery == 0;
                brokenOff += breaks ? 1 : 0;
                return breaks;
            };
        }
        putObject(*world->store, "servers", upstream->id, entryOf(*upstream, "ready"));
        archives.push_back(upstream);
    }
    writeConfig(*world, 1, routeRow("read", "/read/", "idempotent", 2000, 400, 2) + "," + routeRow("bundle", "/bundle/", "download", 1500, 300, 2, "s1"), 67'108'864);
    for (auto& gate : world->gates)
        startGate(*world, gate, true);
    if (!awaitReady(*world, 15))
        finish(*world, 2);
    note("all gates are ready");
    sleepUntil(secondsNow() + 5);
    traffic_state traffic;
    for (unsigned i = 0; i < 15; ++i)
        std::thread([&world, &traffic, i] { runClient(*world, traffic, i); }).detach();
    sleepUntil(secondsNow() + 3);
    if (isTroubled()) {
        garbles = true;
        note("2 of 6 upstreams of the downloads break off one of 50 answers");
    }
    sleepUntil(secondsNow() + GarbleForS);
    garbles = false;
    sleepUntil(secondsNow() + 2);
    traffic.ended = true;
    sleepUntil(secondsNow() + 4);
    std::set<std::string> run;
    for (const auto& upstream : world->upstreams) {
        const std::lock_guard lock(upstream->mutex);
        for (const auto& each : upstream->runs)
            run.insert(each.requestId);
    }
    const std::lock_guard lock(traffic.mutex);
    unsigned unanswered = 0;
    unsigned lost = 0;
    for (const auto& read : traffic.reads) {
        unanswered += read.answered ? 0 : 1;
        if (read.answered || !read.onKeptConnection || run.count(read.id) == 0)
            continue;
        ++lost;
        note("read " + read.id + ", sent at " + std::to_string(read.sentAt) + ", was run by a sound upstream, and its connection ended without an answer to it");
    }
    note("downloads: " + std::to_string(traffic.downloads) + ", cut at the client: " + std::to_string(traffic.downloadsCut) + ", broken off by an upstream: " + std::to_string(brokenOff));
    note("reads: " + std::to_string(traffic.reads.size()) + ", unanswered: " + std::to_string(unanswered) + ", of these passed on to a sound upstream from a kept connection: " + std::to_string(lost));
    if (traffic.reads.size() < 100)
        finish(*world, 2);
    finish(*world, lost > 3 ? 1 : 0);
}

} // namespace review
