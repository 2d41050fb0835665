/** @file serve_control.cpp Look-ups, readiness checks, metrics, reloading of settings and the graceful stop. */
#include "fair_share/fair_share_func.h"
#include "gossip/gossip_func.h"
#include "net/http_func.h"
#include "platform/settings.h"
#include "quota/quota_func.h"
#include "serve/serve_func.h"
#include <fstream>
#include <sstream>

namespace lhub {

/** Lifetime of a look-up's answer. A caller learns within it that a VM has stopped; some callers keep an answer three times as long. */
static constexpr seconds LookupLifetime { 2 };
/** Port of the metrics server; deploy/system.toml names the same one. */
static constexpr std::uint16_t MetricsPort = 9464;
/** Time between two reads of the settings file. */
static constexpr milliseconds SettingsPollInterval { 1000 };
/** Time between two checks of all connections for time-outs. */
static constexpr milliseconds SweepInterval { 250 };
/** Share of the grace time after which no new connections are accepted, and idle ones are ended. */
static constexpr double AcceptShare = 0.5;
/** Share of the grace time by which the response to each request must be known; the rest is for writing it. */
static constexpr double RespondShare = 0.88;
/** Share of the grace time after which the process ends, even with connections open; one check later if it was paused until then. */
static constexpr double EndShare = 0.95;
/** Share of the grace time until which the process waits for the reader of its log, after all else has ended. */
static constexpr double LogShare = 0.98;
/** Time between two checks of the state of a graceful stop. */
static constexpr milliseconds StopCheckInterval { 50 };

/** ":port" of an address "IP:port". */
static std::string portOf(const std::string& address) { return address.substr(address.rfind(':')); }

static http_response handleLookup(gate_shell& shell, const platform::lookup_query& question)
{
    ++shell.counters.lookups;
    std::vector<std::string> addresses;
    for (const auto& ip : lookUp(shell.state, question.host, question.region, shell.clock.now()))
        addresses.push_back(ip + portOf(shell.settings.callerAddress));
    if (addresses.empty())
        return makeProblem(http::status::service_unavailable, "no entry VM is ready", "");
    const auto life = std::min(LookupLifetime, shell.settings.bounds.maxLookupLifetime);
    return makeResponse(http::status::ok, platform::encodeLookup(addresses, life));
}

/** Responds to readiness checks and look-ups, which share one handler. */
static asio::awaitable<http_response> handleControl(gate_shell& shell, const http_request& request)
{
    const std::string_view target(request.target().data(), request.target().size());
    if (platform::isReadinessCheck(target)) {
        if (isReady(shell.state))
            co_return makeResponse(http::status::ok, "{}");
        co_return makeProblem(http::status::service_unavailable, "not ready", "");
    }
    if (const auto question = platform::decodeLookup(target))
        co_return handleLookup(shell, *question);
    co_return makeProblem(http::status::not_found, "no such call", "");
}

/** One histogram of the ratio of actual to expected time. */
static void appendForecastRatios(std::ostream& text, std::string_view expected, const forecast_histogram& counts)
{
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < counts.size(); ++bucket) {
        cumulative += counts[bucket];
        text << "lhub_attempt_time_ratio_bucket{expected=\"" << expected << "\",le=\"";
        if (bucket < ForecastRatioBounds.size())
            text << ForecastRatioBounds[bucket];
        else
            text << "+Inf";
        text << "\"} " << cumulative << "\n";
    }
}

/** Requests by result and by cause of loss, and the quality of the forecasts. */
static void appendLossMetrics(std::ostream& text, const loss_counts& losses)
{
    text << "# TYPE lhub_service_results_total counter\n";
    for (const auto& [service, counts] : losses.resultsByService) {
        for (const auto& row : ServiceResultNames)
            text << "lhub_service_results_total{service=\"" << service << "\",result=\"" << row.name << "\"} " << counts[static_cast<std::size_t>(row.value)] << "\n";
    }
    text << "# TYPE lhub_customer_results_total counter\n";
    for (const auto& [customer, counts] : losses.resultsByCustomer) {
        for (const auto& row : ServiceResultNames)
            text << "lhub_customer_results_total{customer=\"" << customer << "\",result=\"" << row.name << "\"} " << counts[static_cast<std::size_t>(row.value)] << "\n";
    }
    text << "# TYPE lhub_losses_total counter\n";
    for (const auto& [service, counts] : losses.causesByService) {
        for (const auto& row : LossCauseNames) {
            if (row.value != loss_cause::None)
                text << "lhub_losses_total{service=\"" << service << "\",cause=\"" << row.name << "\"} " << counts[static_cast<std::size_t>(row.value)] << "\n";
        }
    }
    text << "# TYPE lhub_placed_as_cached_total counter\nlhub_placed_as_cached_total " << losses.placedAsCached << "\n";
    text << "# TYPE lhub_placed_as_cached_wrongly_total counter\nlhub_placed_as_cached_wrongly_total " << losses.placedAsCachedWrongly << "\n";
    text << "# TYPE lhub_attempt_time_ratio histogram\n";
    appendForecastRatios(text, "cached", losses.cachedRatios);
    appendForecastRatios(text, "uncached", losses.uncachedRatios);
}

/** Services that were overloaded lately, their fair level, and how many customers are limited. Without labels of customers. */
static void appendFairShareMetrics(std::ostream& text, const fair_share_table& shares, time_point now)
{
    if (shares.services.empty())
        return;
    text << "# TYPE lhub_fair_share_overloaded gauge\n";
    for (const auto& [service, state] : shares.services)
        text << "lhub_fair_share_overloaded{service=\"" << service << "\"} " << (isOverloaded(state, now) ? 1 : 0) << "\n";
    text << "# TYPE lhub_fair_share_level_per_s gauge\n";
    for (const auto& [service, state] : shares.services) {
        if (state.level && isOverloaded(state, now))
            text << "lhub_fair_share_level_per_s{service=\"" << service << "\"} " << *state.level << "\n";
    }
    text << "# TYPE lhub_fair_share_limited_customers gauge\n";
    for (const auto& [service, state] : shares.services)
        text << "lhub_fair_share_limited_customers{service=\"" << service << "\"} " << limitedCustomers(state, now) << "\n";
}

/** Time since the store last answered a watch of each kind, on a VM that watches it. */
static void appendWatchMetrics(std::ostream& text, const gate_shell& shell)
{
    text << "# TYPE lhub_watch_answer_age_ms gauge\n";
    for (const auto& kind : shell.watchedKinds) {
        if (kind && shell.watchesStore && kind->answeredAt != time_point {})
            text << "lhub_watch_answer_age_ms{kind=\"" << kind->keyPrefix.substr(0, kind->keyPrefix.size() - 1) << "\"} " << elapsed(kind->answeredAt, shell.clock.now()).count() << "\n";
    }
}

/** Quotas: customers with a limit that this VM serves, and this VM as a broker. Nothing while no customer has a quota. */
static void appendQuotaMetrics(std::ostream& text, const quota_state& quota, time_point now)
{
    static constexpr std::size_t MaxNames = 100;
    if (quota.limits.empty())
        return;
    const auto perCustomer = [&](std::string_view name, std::string_view type, auto valueOf) {
        text << "# TYPE lhub_quota_" << name << " " << type << "\n";
        std::size_t named = 0;
        for (const auto& [key, customer] : quota.customers) {
            if (++named > MaxNames)
                break;
            text << "lhub_quota_" << name << "{customer=\"" << customer.name << "\"} " << valueOf(customer) << "\n";
        }
    };
    perCustomer("admitted_total", "counter", [](const quota_customer& customer) { return customer.admitted; });
    perCustomer("refused_total", "counter", [](const quota_customer& customer) { return customer.refused; });
    perCustomer("tokens", "gauge", [](const quota_customer& customer) { return customer.balances[0].held + customer.balances[1].held; });
    perCustomer("waiting", "gauge", [](const quota_customer& customer) { return customer.waiting.size(); });
    text << "# TYPE lhub_quota_asks_sent_total counter\nlhub_quota_asks_sent_total " << quota.asksSent << "\n";
    text << "# TYPE lhub_quota_asks_received_total counter\nlhub_quota_asks_received_total " << quota.asksReceived << "\n";
    text << "# TYPE lhub_quota_broker_share gauge\n";
    for (std::size_t shard = 0; shard < QuotaShards; ++shard)
        text << "lhub_quota_broker_share{shard=\"" << shard << "\"} " << countedShare(quota.brokers[shard], now) << "\n";
}

/** All metrics in the Prometheus text format. */
static std::string metricsText(const gate_shell& shell)
{
    std::ostringstream text;
    const auto counter = [&](std::string_view name, std::uint64_t value) {
        text << "# TYPE lhub_" << name << "_total counter\nlhub_" << name << "_total " << value << "\n";
    };
    const auto gauge = [&](std::string_view name, std::uint64_t value) {
        text << "# TYPE lhub_" << name << " gauge\nlhub_" << name << " " << value << "\n";
    };
    const auto& counters = shell.counters;
    counter("lookups", counters.lookups);
    counter("requests", counters.requests);
    counter("relayed", counters.relayed);
    counter("cut_short", counters.cutShort);
    counter("refused", counters.refused);
    counter("failed", counters.failed);
    counter("attempts", counters.attempts);
    counter("bad_requests", counters.badRequests);
    counter("callers_closed_for_room", counters.idleCallersEvicted);
    counter("callers_ended_by_stop", counters.idleCallersEnded);
    counter("callers_left_unread", counters.callersLeftUnread);
    counter("callers_stuck", counters.callersStuck);
    counter("requests_without_room", counters.requestsWithoutRoom);
    counter("endpoint_connections_forgotten", counters.staleConnections);
    counter("endpoint_connections", counters.connectionsOpened);
    counter("response_body_reads", counters.bodyReads);
    counter("rejected_objects", counters.rejectedObjects);
    counter("relays", counters.peerUpdates);
    counter("news_calls", counters.peerCalls);
    counter("news_failures", counters.peerCallFailures);
    counter("gossip_sent", counters.gossipSent);
    counter("gossip_unsent", counters.gossipUnsent);
    counter("gossip_bytes", counters.gossipBytes);
    counter("gossip_received", counters.gossipReceived);
    counter("quota_malformed", counters.quotaMalformed);
    counter("store_reads", shell.storeCalls.reads);
    counter("store_watches", shell.storeCalls.watches);
    counter("store_writes", shell.storeCalls.writes);
    counter("store_failures", shell.storeCalls.failures);
    counter("log_lines", logCounts().written);
    counter("log_lines_dropped", logCounts().dropped);
    counter("log_lines_lost", logCounts().lost);
    gauge("requests_open", shell.exchanges.size());
    gauge("callers_open", shell.callers.size());
    gauge("body_bytes", shell.bodyBytes);
    gauge("endpoint_connections_idle", shell.idleConnectionCount);
    gauge("watches_store", shell.watchesStore ? 1 : 0);
    gauge("endpoints", shell.state.endpoints.size());
    gauge("endpoints_paced", pacedEndpoints(shell.state, shell.clock.now()));
    gauge("vms_alive", aliveMembers(shell.state.members, shell.state.gossip, shell.clock.now()).size());
    gauge("config_version", shell.state.routes ? shell.state.routes->config.version : 0);
    gauge("config_revision", shell.state.configRevision);
    appendWatchMetrics(text, shell);
    appendLossMetrics(text, shell.state.losses);
    appendFairShareMetrics(text, shell.state.fairShares, shell.clock.now());
    appendQuotaMetrics(text, shell.state.quota, shell.clock.now());
    text << "# TYPE lhub_request_latency_ms histogram\n";
    for (const auto& [route, counts] : shell.latencyByRoute) {
        std::uint64_t cumulative = 0;
        for (std::size_t bucket = 0; bucket < counts.size(); ++bucket) {
            cumulative += counts[bucket];
            const auto bound = bucket < LatencyBoundsMs.size() ? std::to_string(LatencyBoundsMs[bucket]) : std::string("+Inf");
            text << "lhub_request_latency_ms_bucket{route=\"" << route << "\",le=\"" << bound << "\"} " << cumulative << "\n";
        }
    }
    return text.str();
}

outcome<bool> startServer(gate_shell& shell, std::optional<tcp::acceptor>& acceptor, const std::string& address, http_handler handler)
{
    auto listening = listenAt(shell.context.get_executor(), address);
    if (!listening)
        return failure<bool>(listening.reason);
    acceptor = std::move(*listening);
    static constexpr std::uint64_t LargestControlBody = 4096;
    spawn(shell, "serve_calls", serveHttp(*acceptor, std::move(handler), { LargestControlBody, seconds(30) }));
    return success(true);
}

/** Checks callers, idle connections and orphaned attempts for time-outs, and writes waiting lines of the log, until the process ends. */
static asio::awaitable<void> sweep(gate_shell& shell)
{
    while (true) {
        shell.sweptBefore = std::exchange(shell.sweptAt, shell.clock.now());
        co_await pauseFor(SweepInterval);
        sweepCallers(shell);
        sweepIdleConnections(shell);
        sweepOrphanedAttempts(shell);
        flushLog();
    }
}

outcome<bool> startServers(gate_shell& shell)
{
    const auto control = [&shell](const http_request& request) { return handleControl(shell, request); };
    auto started = startServer(shell, shell.readyAcceptor, shell.settings.readinessAddress, control);
    if (started)
        started = startServer(shell, shell.lookupAcceptor, shell.settings.lookupAddress, control);
    if (!started)
        return started;
    if (started)
        started = startPeerServer(shell);
    if (!started)
        return started;
    const auto metrics = startServer(shell, shell.metricsAcceptor, shell.settings.ip + ":" + std::to_string(MetricsPort),
        [&shell](const http_request&) -> asio::awaitable<http_response> {
            co_return makeResponse(http::status::ok, metricsText(shell), "text/plain; version=0.0.4");
        });
    if (!metrics) // The VM serves requests without metrics, too.
        logEvent("metrics", { { "state", "unavailable" }, { "reason", metrics.reason } }, shell.clock.now());
    auto listening = listenAt(shell.context.get_executor(), shell.settings.callerAddress);
    if (!listening)
        return failure<bool>(listening.reason);
    shell.callerAcceptor = std::move(*listening);
    spawn(shell, "accept_callers", acceptCallers(shell));
    spawn(shell, "sweep", sweep(shell));
    return success(true);
}

static std::string readFile(const std::string& path)
{
    const std::ifstream input(path);
    std::stringstream text;
    text << input.rdbuf();
    return text.str();
}

/** Reads the settings file, and applies it if its text has changed. A file that cannot be read or is wrong changes nothing. */
static void reloadSettings(gate_shell& shell)
{
    auto text = readFile(shell.settingsFile);
    if (text == shell.settingsText || text.empty())
        return;
    shell.settingsText = std::move(text);
    auto settings = platform::decodeSettings(shell.settingsFile, shell.settingsText);
    if (!settings) {
        logEvent("reload", { { "outcome", "rejected" }, { "reason", settings.reason } }, shell.clock.now());
        return;
    }
    shell.settings.bounds = settings->bounds;
    shell.settings.seeds = settings->seeds;
    shell.settings.recoveryPace = settings->recoveryPace;
    shell.settings.regionOfZone = settings->regionOfZone;
    shell.state.self = identityOf(shell.settings);
    shell.state.members.regionOfZone = shell.settings.regionOfZone;
    logEvent("reload", { { "outcome", "in force" } }, shell.clock.now());
}

asio::awaitable<void> reloadSettingsOnChange(gate_shell& shell)
{
    shell.settingsText = readFile(shell.settingsFile);
    while (true) {
        co_await pauseFor(SettingsPollInterval);
        reloadSettings(shell);
    }
}

/** Logs each request that the end of the process cuts off, also those whose callers have left. */
static void logCutRequests(const gate_shell& shell)
{
    for (const auto& [id, exchange] : shell.exchanges) {
        log_fields fields { { "id", exchange->callerRequestId }, { "after_ms", std::to_string(elapsed(exchange->arrivedAt, shell.clock.now()).count()) } };
        for (const auto& [attemptId, attempt] : exchange->attempts) {
            if (!attempt->endReported)
                fields.emplace_back("endpoint", attempt->command.endpoint);
        }
        logEvent("cut_by_stop", fields, shell.clock.now());
    }
    for (const auto& attempt : shell.orphanedAttempts) {
        if (!attempt->endReported)
            logEvent("cut_by_stop", { { "caller", "gone" }, { "endpoint", attempt->command.endpoint } }, shell.clock.now());
    }
}

/** Whether an attempt is open for a request that must not be repeated and whose caller has left. */
static bool hasOrphanedWork(const gate_shell& shell)
{
    return std::any_of(shell.orphanedAttempts.begin(), shell.orphanedAttempts.end(), [](const auto& attempt) { return !attempt->endReported; });
}

/** When a signal that is handled now may have arrived: a process that was paused or starved handles it late, and the grace time runs from its arrival. */
static time_point earliestSignalTime(const gate_shell& shell)
{
    const auto now = shell.clock.now();
    // The last check may have been made after the pause, before the signal.
    return shell.sweptBefore == time_point {} ? now : std::min(now, shell.sweptBefore + SweepInterval);
}

asio::awaitable<void> stopGracefully(gate_shell& shell)
{
    reloadSettings(shell); // The grace time may have changed shortly before the signal.
    const auto stopBegan = earliestSignalTime(shell);
    const auto grace = shell.settings.bounds.stopGrace;
    const auto afterShare = [&](double share) {
        return stopBegan + std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(grace) * share);
    };
    logEvent("stop", { { "open", std::to_string(shell.exchanges.size()) }, { "callers", std::to_string(openCallers(shell)) }, { "grace_ms", std::to_string(milliseconds(grace).count()) } }, stopBegan);
    shell.stopping = true;
    shell.logUntil = afterShare(LogShare);
    processEvent(shell, stop_requested { afterShare(RespondShare) });
    bool responsesWereDue = false; // At the check before.
    bool ended = false;
    while (!ended) {
        co_await pauseFor(StopCheckInterval);
        const auto now = shell.clock.now();
        if (now < afterShare(AcceptShare))
            continue;
        if (shell.callerAcceptor->is_open())
            acceptPendingAndClose(shell);
        const bool responsesAreDue = now >= afterShare(RespondShare);
        endIdleCallers(shell, responsesAreDue);
        // A process that wakes late ends one check later, so that the responses that were due meanwhile are written.
        const bool nothingOpen = openCallers(shell) == 0 && !hasOrphanedWork(shell);
        ended = nothingOpen || (responsesWereDue && now >= afterShare(EndShare));
        responsesWereDue = responsesAreDue;
    }
    logCutRequests(shell);
    logEvent("stopped", { { "open", std::to_string(shell.exchanges.size()) }, { "callers", std::to_string(openCallers(shell)) }, { "after_ms", std::to_string(elapsed(stopBegan, shell.clock.now()).count()) } }, shell.clock.now());
    shell.context.stop();
}

} // namespace lhub
