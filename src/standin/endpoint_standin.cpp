/** @file endpoint_standin.cpp Test endpoints that limit concurrent requests, report that they leave and count runs. */
#include "standin/endpoint_standin.h"

#include "core/json_fields.h"

namespace lhub {

static http_response makeProbeResponse(const endpoint_standin& endpoint)
{
    const json::value body = { { "inflight", endpoint.inflight }, { "leaving", endpoint.leaving } };
    return makeResponse(http::status::ok, json::serialize(body));
}

static http_response shedRequest(endpoint_standin& endpoint)
{
    ++endpoint.shed;
    auto response = makeProblem(http::status::service_unavailable, "shed", "all slots are taken");
    response.set(http::field::retry_after, "1");
    return response;
}

/** Response body: a first line that identifies the request, padded to at least @p size bytes. */
static std::string makeResponseBody(const http_request& request, std::size_t size)
{
    std::string body = std::string(request["Lhub-Request-Id"]) + " " + std::string(request.target()) + " "
        + std::to_string(request.body().size()) + "\n";
    if (body.size() < size)
        body.resize(size, 'x');
    return body;
}

/** Runs one request if a slot is free. */
static asio::awaitable<http_response> runRequest(const std::shared_ptr<endpoint_standin>& endpoint, const http_request& request)
{
    if (endpoint->inflight >= endpoint->slots)
        co_return shedRequest(*endpoint);
    if (endpoint->leaving)
        ++endpoint->afterLeaving;
    ++endpoint->inflight;
    ++endpoint->served;
    endpoint->maxInflight = std::max(endpoint->maxInflight, endpoint->inflight);
    if (request.method() == http::verb::post && !request["Idempotency-Key"].empty())
        ++endpoint->runs[std::string(request["Idempotency-Key"])];
    auto query = queryOf(std::string_view(request.target().data(), request.target().size()));
    const auto durationMs = query.count("ms") ? std::strtol(query["ms"].c_str(), nullptr, 10) : endpoint->serviceMs;
    const auto size = std::strtoul(query["size"].c_str(), nullptr, 10);
    asio::steady_timer timer(co_await asio::this_coro::executor, milliseconds(durationMs));
    co_await timer.async_wait(asio::use_awaitable);
    --endpoint->inflight;
    auto response = makeResponse(http::status::ok, makeResponseBody(request, size), "text/plain");
    response.set("Lhub-Endpoint", endpoint->name);
    if (endpoint->leaving)
        response.set("Lhub-Leaving", "1");
    co_return response;
}

static asio::awaitable<http_response> handleEndpointCall(
    const std::shared_ptr<endpoint_standin>& endpoint, const http_request& request)
{
    if (request.target() == "/healthz")
        co_return makeProbeResponse(*endpoint);
    co_return co_await runRequest(endpoint, request);
}

http_handler makeEndpointHandler(const std::shared_ptr<endpoint_standin>& endpoint)
{
    return [endpoint](const http_request& request) { return handleEndpointCall(endpoint, request); };
}

static http_response makeTotalsResponse(const endpoint_standins& endpoints)
{
    json::array rows;
    std::uint64_t repeatedKeys = 0;
    std::map<std::string, std::uint32_t> runs;
    for (const auto& [address, endpoint] : endpoints) {
        rows.push_back({ { "service", endpoint->service }, { "name", endpoint->name }, { "address", address },
            { "inflight", endpoint->inflight }, { "highest", endpoint->maxInflight }, { "served", endpoint->served },
            { "shed", endpoint->shed }, { "after_leaving", endpoint->afterLeaving } });
        for (const auto& [key, count] : endpoint->runs)
            runs[endpoint->service + "/" + key] += count;
    }
    for (const auto& [key, count] : runs)
        repeatedKeys += count > 1 ? 1 : 0;
    const json::value body = { { "endpoints", std::move(rows) }, { "doubled", repeatedKeys }, { "keys", runs.size() } };
    return makeResponse(http::status::ok, json::serialize(body));
}

static asio::awaitable<http_response> handleControlCall(
    const std::shared_ptr<endpoint_standins>& endpoints, const http_request& request)
{
    const std::string_view target(request.target().data(), request.target().size());
    if (pathOf(target) == "/v1/endpoints")
        co_return makeTotalsResponse(*endpoints);
    auto query = queryOf(target);
    for (auto& [address, endpoint] : *endpoints) {
        if (endpoint->service + "/" + endpoint->name != query["endpoint"])
            continue;
        endpoint->leaving = query["leaving"] == "1";
        co_return makeResponse(http::status::ok, "{}");
    }
    co_return makeProblem(http::status::not_found, "no such endpoint", query["endpoint"]);
}

http_handler makeEndpointControl(const std::shared_ptr<endpoint_standins>& endpoints)
{
    return [endpoints](const http_request& request) { return handleControlCall(endpoints, request); };
}

} // namespace lhub
