/** @file load.cpp Load generator: callers that cache look-ups, send requests and check every response. */
#include "load/load_func.h"

#include "net/http_func.h"
#include "request/request_func.h"
#include <algorithm>
#include <random>

namespace lhub {

const std::vector<json_field<load_stream>>& streamFields()
{
    constexpr std::uint32_t HighestRate = 1'000'000;
    constexpr std::uint32_t LargestBody = 1'000'000'000;
    static const auto IsNotEmpty = [](std::string_view text) { return !text.empty(); };
    static const std::vector<json_field<load_stream>> Table {
        nameField("service", &load_stream::service),
        textField("method", &load_stream::method, false),
        textField("path", &load_stream::path, false),
        numberField("per_second", &load_stream::requestsPerSecond, 1U, HighestRate),
        numberField("deadline_ms", &load_stream::deadlineMs, 1U, 600'000U, false),
        numberField("body_bytes", &load_stream::bodyBytes, 0U, LargestBody, false),
        listField("clients", &load_stream::clientIps, +IsNotEmpty, "a list of IPs"),
    };
    return Table;
}

namespace {

    constexpr seconds LookupTimeout { 2 };
    /** Added to a request's deadline before a caller stops waiting for the response. */
    constexpr milliseconds ResponseMargin { 500 };

    /** Result of a look-up, cached for its lifetime. */
    struct cached_lookup {
        std::vector<std::string> addresses; ///< Entry VMs (IP:port), in the order in which they are tried.
        time_point expiresAt {};
    };

    /** Prefix for idempotency keys, given out by an entry VM. */
    struct cached_prefix {
        std::string text;
        time_point expiresAt {};
    };

    /** State of one runLoad(). */
    struct load_run {
        asio::io_context& context; ///< Runs all coroutines.
        const load_plan& plan;
        std::mt19937_64 random; ///< Chooses arrivals, clients and the entry VM to ask first.
        std::map<std::string, cached_lookup> lookupCache; ///< By service and client IP, separated by a space.
        std::map<std::string, cached_prefix> keyPrefixes; ///< By address of the entry VM.
        std::vector<load_result> results; ///< One for each stream, in the order of the plan.
        std::uint64_t lastRequestNumber = 0; ///< Part of the request id.
        system_clock_source clock;
    };

} // namespace

/** Entry VMs in the response to a look-up sent at @p sentAt; without addresses when it is not JSON. */
static cached_lookup decodeLookup(const http_response& response, time_point sentAt)
{
    cached_lookup found;
    const auto parsed = parseJson(response.body());
    if (!parsed || !parsed.value->is_object())
        return found;
    const auto& document = parsed.value->get_object();
    for (const auto& vm : document.at("vms").as_array())
        found.addresses.emplace_back(vm.at("address").as_string());
    found.expiresAt = sentAt + seconds(document.at("lifetime_s").to_number<std::int64_t>());
    return found;
}

/**
 * Looks up the entry VMs for a client unless a cached result is still valid. Asks the entry VMs one after the other,
 * beginning with a random one; when none responds, the expired result is used.
 */
static asio::awaitable<cached_lookup> lookUpVms(
    load_run& run, const load_stream& stream, load_result& result, std::string client)
{
    const auto name = stream.service + " " + client;
    const auto cached = run.lookupCache[name];
    if (run.clock.now() < cached.expiresAt)
        co_return cached;
    const auto firstEntry = run.random() % run.plan.entries.size();
    for (std::size_t i = 0; i < run.plan.entries.size(); ++i) {
        const auto endpoint = parseAddress(run.plan.entries[(firstEntry + i) % run.plan.entries.size()]);
        if (!endpoint)
            continue;
        http_request request(http::verb::get, "/v1/steer?service=" + stream.service + "&client=" + client, 11);
        const auto sentAt = run.clock.now();
        const auto call = co_await httpCall(*endpoint, std::move(request), LookupTimeout);
        ++result.lookups;
        if (call.result != http_result::ResponseReceived || call.response.result() != http::status::ok)
            continue;
        auto found = decodeLookup(call.response, sentAt);
        run.lookupCache[name] = found;
        co_return found;
    }
    co_return cached;
}

/**
 * Prefix for idempotency keys, from the entry VM that the request will be sent to; empty when it does not respond. It
 * is cached no longer than the look-up that named the VM.
 */
static asio::awaitable<std::string> fetchKeyPrefix(load_run& run, std::string address, time_point expiresAt)
{
    const auto cached = run.keyPrefixes.find(address);
    if (cached != run.keyPrefixes.end() && run.clock.now() < cached->second.expiresAt)
        co_return cached->second.text;
    const auto endpoint = parseAddress(address);
    const auto call = co_await httpCall(*endpoint, http_request(http::verb::get, "/v1/key", 11), LookupTimeout);
    if (call.result != http_result::ResponseReceived || call.response.result() != http::status::ok)
        co_return std::string();
    const auto parsed = parseJson(call.response.body());
    const auto* prefix = parsed && parsed->is_object() ? parsed->get_object().if_contains("prefix") : nullptr;
    if (!prefix || !prefix->is_string())
        co_return std::string();
    run.keyPrefixes[address] = { std::string(prefix->get_string()), expiresAt };
    co_return run.keyPrefixes[address].text;
}

static http_request makeRequest(
    const load_run& run, const load_stream& stream, const std::string& id, const std::string& key)
{
    http_request request;
    request.version(11);
    request.method_string(stream.method);
    request.target("/s/" + stream.service + stream.path);
    request.set("Lhub-Request-Id", id);
    request.set("Lhub-Deadline-Ms", std::to_string(stream.deadlineMs));
    request.keep_alive(false);
    if (!isIdempotent(stream.method))
        request.set("Idempotency-Key", key + std::to_string(run.plan.seed) + "-" + id);
    request.body().assign(stream.bodyBytes, 'b');
    return request;
}

/** Whether the response belongs to the request with @p id and has the full size that its query asks for. */
static bool isExpectedResponse(const http_response& response, const load_stream& stream, const std::string& id)
{
    const auto firstLine = response.body().substr(0, response.body().find('\n'));
    const auto expected = id + " " + stream.path + " " + std::to_string(stream.bodyBytes);
    if (firstLine != expected || response["Lhub-Request-Id"] != id)
        return false;
    const auto size = queryOf(stream.path);
    const auto expectedSize = size.count("size") ? std::strtoul(size.at("size").c_str(), nullptr, 10) : 0;
    return response.body().size() >= expectedSize;
}

/** Counts a response with a status other than 200, by its verdict. */
static void recordErrorResponse(load_result& result, const http_response& response)
{
    const std::string verdictName(response["Lhub-Verdict"]);
    if (response.result() == http::status::conflict)
        ++result.repeated;
    else if (verdictName == nameOf(VerdictNames, verdict::NotRun))
        ++result.refused;
    else if (verdictName == nameOf(VerdictNames, verdict::MayHaveRun))
        ++result.uncertain;
    else
        ++result.lost;
    const auto parsed = parseJson(response.body());
    const auto* document = parsed ? parsed.value->if_object() : nullptr;
    const auto* detail = document ? document->if_contains("detail") : nullptr;
    ++result.reasons[detail && detail->is_string() ? std::string(detail->get_string()) : "(no detail)"];
}

/** Sends one request, to the next entry VM of the look-up when one cannot be reached, and counts its outcome. */
static asio::awaitable<void> sendRequest(load_run& run, const load_stream& stream, load_result& result)
{
    const auto id = "r" + std::to_string(++run.lastRequestNumber) + "-" + std::to_string(run.plan.seed);
    ++result.requests;
    const auto client = stream.clientIps.empty() ? "127.0.0.1" : stream.clientIps[run.random() % stream.clientIps.size()];
    const auto startedAt = run.clock.now();
    const auto found = co_await lookUpVms(run, stream, result, client);
    std::string reason = "no entry VM";
    for (const auto& address : found.addresses) {
        std::string key;
        if (!isIdempotent(stream.method))
            key = co_await fetchKeyPrefix(run, address, found.expiresAt);
        const auto endpoint = parseAddress(address);
        const milliseconds timeout = milliseconds(stream.deadlineMs) + ResponseMargin;
        const auto call = co_await httpCall(*endpoint, makeRequest(run, stream, id, key), timeout);
        reason = call.reason;
        if (call.result == http_result::NotSent) {
            ++result.failovers;
            run.keyPrefixes.erase(address);
            run.lookupCache.erase(stream.service + " " + client);
            continue;
        }
        if (call.result == http_result::NoResponse && isIdempotent(stream.method)) {
            // An idempotent request may be sent again: the caller tries its next entry VM.
            ++result.failovers;
            run.lookupCache.erase(stream.service + " " + client);
            continue;
        }
        if (call.result == http_result::NoResponse) {
            ++result.uncertain;
            ++result.reasons["no complete response from the entry VM: " + reason];
            co_return;
        }
        if (call.response.result() != http::status::ok) {
            recordErrorResponse(result, call.response);
            co_return;
        }
        ++(isExpectedResponse(call.response, stream, id) ? result.whole : result.wrong);
        const std::chrono::duration<double, std::milli> latency = run.clock.now() - startedAt;
        addLatency(result.latency, latency.count());
        co_return;
    }
    ++result.lost;
    ++result.reasons[reason];
}

/** Sends the requests of a stream without waiting for the responses to earlier ones. */
static asio::awaitable<void> runStream(load_run& run, const load_stream& stream, load_result& result)
{
    std::exponential_distribution<double> interarrival(stream.requestsPerSecond);
    asio::steady_timer timer(run.context);
    auto nextAt = run.clock.now();
    const auto endsAt = nextAt + run.plan.duration;
    while (true) {
        const std::chrono::duration<double> gap(interarrival(run.random));
        nextAt += std::chrono::duration_cast<time_point::duration>(gap);
        if (nextAt >= endsAt)
            co_return;
        timer.expires_at(nextAt);
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(run.context, sendRequest(run, stream, result), asio::detached);
    }
}

std::vector<load_result> runLoad(asio::io_context& context, const load_plan& plan)
{
    load_run run { context, plan, std::mt19937_64(plan.seed), {}, {}, std::vector<load_result>(plan.streams.size()), 0,
        {} };
    for (std::size_t i = 0; i < plan.streams.size(); ++i)
        asio::co_spawn(context, runStream(run, plan.streams[i], run.results[i]), asio::detached);
    context.run();
    return std::move(run.results);
}

json::object describeResult(const load_stream& stream, const load_result& result)
{
    json::object reasons;
    for (const auto& [reason, count] : result.reasons)
        reasons[reason] = count;
    return { { "service", stream.service }, { "method", stream.method }, { "requests", result.requests },
        { "whole", result.whole }, { "wrong", result.wrong }, { "refused", result.refused },
        { "uncertain", result.uncertain }, { "repeated", result.repeated }, { "lost", result.lost },
        { "second", result.failovers }, { "lookups", result.lookups },
        { "p50_ms", latencyQuantile(result.latency, 0.5) }, { "p99_ms", latencyQuantile(result.latency, 0.99) },
        { "reasons", std::move(reasons) } };
}

} // namespace lhub
