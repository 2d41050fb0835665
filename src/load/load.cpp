/** @file load.cpp Callers that cache look-ups, send requests and check every answer. */
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
    static const auto IsText = [](std::string_view text) { return !text.empty(); };
    static const std::vector<json_field<load_stream>> Table {
        nameField("service", &load_stream::service),
        textField("method", &load_stream::method, false),
        textField("path", &load_stream::path, false),
        numberField("per_second", &load_stream::perSecond, 1U, HighestRate),
        numberField("deadline_ms", &load_stream::deadlineMs, 1U, 600'000U, false),
        numberField("body_bytes", &load_stream::bodyBytes, 0U, LargestBody, false),
        listField("clients", &load_stream::clients, +IsText, "a list of IPs"),
    };
    return Table;
}

namespace {

    constexpr seconds LookupTimeout { 2 };
    constexpr milliseconds AnswerMargin { 500 };

    /** A cached look-up. */
    struct cached_lookup {
        std::vector<std::string> addresses; ///< Entry VMs in order.
        time_point until {}; ///< Valid before this.
    };

    /** A cached prefix for keys. */
    struct cached_prefix {
        std::string text; ///< The prefix.
        time_point until {}; ///< Valid before this.
    };

    /** One run. */
    struct load_run {
        asio::io_context& context; ///< Runs everything.
        const load_plan& plan; ///< What to do.
        std::mt19937_64 random; ///< For arrivals and clients.
        std::map<std::string, cached_lookup> cache; ///< By "service client".
        std::map<std::string, cached_prefix> prefixes; ///< Prefix of keys, by entry VM.
        std::vector<load_result> results; ///< One a stream.
        std::uint64_t lastId = 0; ///< Of requests.
        system_clock_source clock; ///< Time.
    };

} // namespace

/** Entry VMs in a look-up's answer. */
static cached_lookup decodeLookup(const http_response& response, time_point now)
{
    cached_lookup found;
    const auto parsed = parseJson(response.body());
    if (!parsed || !parsed.value->is_object())
        return found;
    const auto& document = parsed.value->get_object();
    for (const auto& vm : document.at("vms").as_array())
        found.addresses.emplace_back(vm.at("address").as_string());
    found.until = now + seconds(document.at("lifetime_s").to_number<std::int64_t>());
    return found;
}

/** Looks up the entry VMs for a client, or takes what is cached. */
static asio::awaitable<cached_lookup> lookUp(
    load_run& run, const load_stream& stream, load_result& result, std::string client)
{
    const auto name = stream.service + " " + client;
    const auto cached = run.cache[name];
    if (run.clock.now() < cached.until)
        co_return cached;
    const auto first = run.random() % run.plan.entries.size();
    for (std::size_t i = 0; i < run.plan.entries.size(); ++i) {
        const auto endpoint = parseAddress(run.plan.entries[(first + i) % run.plan.entries.size()]);
        if (!endpoint)
            continue;
        http_request request(http::verb::get, "/v1/steer?service=" + stream.service + "&client=" + client, 11);
        const auto asked = run.clock.now();
        const auto reply = co_await httpCall(*endpoint, std::move(request), LookupTimeout);
        ++result.lookups;
        if (reply.result != http_result::Answered || reply.response.result() != http::status::ok)
            continue;
        auto found = decodeLookup(reply.response, asked);
        run.cache[name] = found;
        co_return found;
    }
    co_return cached;
}

/**
 * A prefix for idempotency keys from the entry VM that will be used; empty when it does not answer. It is kept no
 * longer than the look-up that named the VM.
 */
static asio::awaitable<std::string> keyPrefix(load_run& run, std::string address, time_point until)
{
    const auto known = run.prefixes.find(address);
    if (known != run.prefixes.end() && run.clock.now() < known->second.until)
        co_return known->second.text;
    const auto endpoint = parseAddress(address);
    const auto reply = co_await httpCall(*endpoint, http_request(http::verb::get, "/v1/key", 11), LookupTimeout);
    if (reply.result != http_result::Answered || reply.response.result() != http::status::ok)
        co_return std::string();
    const auto parsed = parseJson(reply.response.body());
    const auto* prefix = parsed && parsed->is_object() ? parsed->get_object().if_contains("prefix") : nullptr;
    if (!prefix || !prefix->is_string())
        co_return std::string();
    run.prefixes[address] = { std::string(prefix->get_string()), until };
    co_return run.prefixes[address].text;
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

/** Whether the answer is this request's own and whole. */
static bool isOwnAnswer(const http_response& response, const load_stream& stream, const std::string& id)
{
    const auto line = response.body().substr(0, response.body().find('\n'));
    const auto expected = id + " " + stream.path + " " + std::to_string(stream.bodyBytes);
    if (line != expected || response["Lhub-Request-Id"] != id)
        return false;
    const auto size = queryOf(stream.path);
    const auto wanted = size.count("size") ? std::strtoul(size.at("size").c_str(), nullptr, 10) : 0;
    return response.body().size() >= wanted;
}

/** Counts an answer that is no whole one. */
static void countRefusal(load_result& result, const http_response& response)
{
    const std::string said(response["Lhub-Verdict"]);
    if (response.result() == http::status::conflict)
        ++result.repeated;
    else if (said == nameOf(VerdictNames, verdict::NotRun))
        ++result.refused;
    else if (said == nameOf(VerdictNames, verdict::MayHaveRun))
        ++result.uncertain;
    else
        ++result.lost;
    const auto parsed = parseJson(response.body());
    const auto* document = parsed ? parsed.value->if_object() : nullptr;
    const auto* detail = document ? document->if_contains("detail") : nullptr;
    ++result.reasons[detail && detail->is_string() ? std::string(detail->get_string()) : "(no detail)"];
}

static asio::awaitable<void> sendOne(load_run& run, const load_stream& stream, load_result& result)
{
    const auto id = "r" + std::to_string(++run.lastId) + "-" + std::to_string(run.plan.seed);
    ++result.requests;
    const auto client = stream.clients.empty() ? "127.0.0.1" : stream.clients[run.random() % stream.clients.size()];
    const auto began = run.clock.now();
    const auto found = co_await lookUp(run, stream, result, client);
    std::string reason = "no entry VM";
    for (const auto& address : found.addresses) {
        std::string key;
        if (!isIdempotent(stream.method))
            key = co_await keyPrefix(run, address, found.until);
        const auto endpoint = parseAddress(address);
        const milliseconds timeout = milliseconds(stream.deadlineMs) + AnswerMargin;
        const auto reply = co_await httpCall(*endpoint, makeRequest(run, stream, id, key), timeout);
        reason = reply.reason;
        if (reply.result == http_result::NotSent) {
            ++result.second;
            run.prefixes.erase(address);
            run.cache.erase(stream.service + " " + client);
            continue;
        }
        if (reply.result == http_result::Lost && isIdempotent(stream.method)) {
            // Repeating it is harmless: a caller goes on to its next entry VM.
            ++result.second;
            run.cache.erase(stream.service + " " + client);
            continue;
        }
        if (reply.result == http_result::Lost) {
            ++result.uncertain;
            ++result.reasons["the entry VM was lost: " + reason];
            co_return;
        }
        if (reply.response.result() != http::status::ok) {
            countRefusal(result, reply.response);
            co_return;
        }
        ++(isOwnAnswer(reply.response, stream, id) ? result.whole : result.wrong);
        const std::chrono::duration<double, std::milli> took = run.clock.now() - began;
        addLatency(result.latency, took.count());
        co_return;
    }
    ++result.lost;
    ++result.reasons[reason];
}

static asio::awaitable<void> runStream(load_run& run, const load_stream& stream, load_result& result)
{
    std::exponential_distribution<double> pause(stream.perSecond);
    asio::steady_timer timer(run.context);
    auto next = run.clock.now();
    const auto end = next + run.plan.duration;
    while (true) {
        const std::chrono::duration<double> gap(pause(run.random));
        next += std::chrono::duration_cast<time_point::duration>(gap);
        if (next >= end)
            co_return;
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(run.context, sendOne(run, stream, result), asio::detached);
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
        { "second", result.second }, { "lookups", result.lookups },
        { "p50_ms", latencyQuantile(result.latency, 0.5) }, { "p99_ms", latencyQuantile(result.latency, 0.99) },
        { "reasons", std::move(reasons) } };
}

} // namespace lhub
