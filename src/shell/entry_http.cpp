/** @file entry_http.cpp HTTP server of lhub-entry: look-ups, services, health, metrics; and probes of endpoints. */
#include "client_lookup/client_lookup_func.h"
#include "core/hash.h"
#include "core/json_fields.h"
#include "explain/explain_func.h"
#include "idempotency/idempotency_func.h"
#include "member/member_func.h"
#include "net/http_func.h"
#include "shell/exchange_type.h"

namespace lhub {

using error_code = boost::system::error_code;

constexpr milliseconds ProbeTimeout { 1000 };
constexpr unsigned BlockHostBits = 8; // clients of one /24 get the same VMs

/** VMs of this zone that are dead or leaving; the configuration may not show it yet. */
static std::set<std::string> unavailableVms(const entry_state& state)
{
    std::set<std::string> names;
    for (const auto& [vm, peer] : state.members.peers) {
        if (!isAlive(state.members, peer) || peer.leaving)
            names.insert(vm);
    }
    if (state.members.leaving)
        names.insert(state.vm);
    return names;
}

static std::string encodeLookup(const client_lookup_result& result, const std::string& service)
{
    json::array choices;
    for (const auto& choice : result.choices)
        choices.push_back({ { "vm", choice.vm }, { "address", choice.address }, { "weight", choice.weight } });
    const json::value document = { { "service", service }, { "zone", result.zone },
        { "lifetime_s", result.lifetimeSeconds }, { "revision", result.revision }, { "vms", std::move(choices) } };
    return json::serialize(document);
}

namespace {

    /** Outcome of a look-up: the VMs, or an error response to send instead. */
    struct lookup_outcome {
        client_lookup_result vms; ///< Without choices when `problem` is set.
        std::string client; ///< IP of the client.
        std::string service; ///< Name of the service.
        std::optional<http_response> problem; ///< The error response.
    };

} // namespace

/**
 * Looks up the VMs for the client in the query, or for the sender without one. Changes no state.
 * @param from IP of the sender.
 */
static lookup_outcome lookUp(const entry_shell& shell, std::string_view target, const asio::ip::address& from)
{
    auto query = queryOf(target);
    lookup_outcome result { {}, query["client"], query["service"], std::nullopt };
    if (shell.state.view.services.count(result.service) == 0) {
        result.problem
            = makeProblem(http::status::bad_request, "no such service", "service: '" + result.service + "'");
        return result;
    }
    error_code error;
    const auto client = result.client.empty() ? from : asio::ip::make_address(result.client, error);
    if (error) {
        result.problem = makeProblem(http::status::bad_request, "not an IP", "client: '" + result.client + "'");
        return result;
    }
    const auto address = client.is_v4() ? client.to_v4().to_uint() : 0;
    const auto* zone = client.is_v4() ? zoneOfClient(shell.clientTable, address) : nullptr;
    const auto block = client.is_v4() ? std::to_string(address >> BlockHostBits) : client.to_string();
    result.client = client.to_string();
    result.vms = lookUpClient(
        shell.lookupIndex, zone ? *zone : shell.state.zone, stableHash(block), unavailableVms(shell.state));
    result.vms.revision = shell.state.config.revision;
    result.vms.lifetimeSeconds = static_cast<std::uint32_t>(shell.state.limits.lookupLifetime.count());
    if (result.vms.choices.empty())
        result.problem = makeProblem(http::status::service_unavailable, "no entry VM", "no entry VM takes callers");
    return result;
}

/** Response to a look-up. */
static http_response respondToLookup(entry_shell& shell, std::string_view target, const asio::ip::address& from)
{
    auto result = lookUp(shell, target, from);
    if (result.problem)
        return std::move(*result.problem);
    ++shell.state.counters.lookups;
    return makeResponse(http::status::ok, encodeLookup(result.vms, result.service));
}

/** Response that explains, line by line, how requests of the client are handled. */
static http_response respondToExplain(const entry_shell& shell, std::string_view target, const asio::ip::address& from)
{
    auto result = lookUp(shell, target, from);
    if (result.problem)
        return std::move(*result.problem);
    std::string text;
    for (const auto& sentence : explainRequest(shell.state, result.vms, result.client, result.service))
        text += sentence + "\n";
    return makeResponse(http::status::ok, std::move(text), "text/plain");
}

/** Response to a readiness probe: ready when the configuration has arrived and this VM is not leaving. */
static http_response respondToReadiness(const entry_shell& shell)
{
    if (shell.state.config.revision == 0)
        return makeProblem(http::status::service_unavailable, "not ready", "no configuration yet");
    if (shell.state.members.leaving)
        return makeProblem(http::status::service_unavailable, "leaving", "this VM is stopping");
    return makeResponse(http::status::ok, "{}");
}

/** Response with a new prefix of idempotency keys; this VM, their home, remembers the keys with it. */
static http_response respondWithKeyPrefix(const entry_shell& shell)
{
    const auto prefix = makeKeyPrefix(shell.state.vm, shell.state.members.incarnation, shell.clock.now());
    const auto lifetime = shell.state.keys.prefixLifetime / 2;
    return makeResponse(
        http::status::ok, json::serialize(json::value { { "prefix", prefix }, { "lifetime_s", lifetime.count() } }));
}

/** Local response to a request that is not for a service. */
static http_response respondLocally(entry_shell& shell, const std::string& target, const asio::ip::address& from)
{
    const auto path = pathOf(target);
    if (path == "/v1/steer")
        return respondToLookup(shell, target, from);
    if (path == "/v1/explain")
        return respondToExplain(shell, target, from);
    if (path == "/v1/key")
        return respondWithKeyPrefix(shell);
    if (path == "/v1/status")
        return makeResponse(http::status::ok, statusText(shell));
    if (path == "/metrics")
        return makeResponse(http::status::ok, metricsText(shell), "text/plain; version=0.0.4");
    if (path == "/healthz")
        return makeResponse(http::status::ok, "{}");
    if (path == "/readyz")
        return respondToReadiness(shell);
    return makeProblem(http::status::not_found, "no such path", path);
}

/** Name of the service in a target "/s/SERVICE/..."; empty for other targets. */
static std::string serviceOfTarget(const std::string& target)
{
    if (target.rfind(ServicePrefix, 0) != 0)
        return {};
    const auto rest = target.substr(ServicePrefix.size());
    return rest.substr(0, rest.find_first_of("/?"));
}

/** Reads the header of the next request. False: close the connection; a malformed header got its response. */
static asio::awaitable<bool> readHeader(caller_exchange& exchange)
{
    error_code error;
    exchange.parser.body_limit(boost::none);
    exchange.parser.header_limit(exchange.limits.maxHeaderBytes);
    exchange.caller.expires_after(exchange.limits.idleTimeout);
    co_await http::async_read_header(
        exchange.caller, exchange.buffer, exchange.parser, asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        co_return true;
    const bool gone = error == http::error::end_of_stream || error.category() == asio::error::get_system_category()
        || error == beast::error::timeout;
    if (gone)
        co_return false;
    auto response = makeProblem(http::status::bad_request, "bad request", error.message());
    response.keep_alive(false);
    response.prepare_payload();
    co_await http::async_write(exchange.caller, response, asio::redirect_error(asio::use_awaitable, error));
    co_return false;
}

static asio::awaitable<void> serveCaller(entry_shell& shell, tcp::socket socket)
{
    error_code error;
    socket.set_option(tcp::no_delay(true), error);
    const auto from = socket.remote_endpoint(error).address();
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
        caller_exchange exchange { shell, stream, buffer, {}, from.to_string(), 0, {}, {}, {}, true, false, false, true,
            nullptr, {} };
        if (!co_await readHeader(exchange))
            co_return;
        const std::string target(exchange.parser.get().target());
        exchange.service = serviceOfTarget(target);
        if (!exchange.service.empty()) {
            co_await serveExchange(exchange);
            if (!exchange.keepAlive)
                co_return;
            continue;
        }
        auto response = respondLocally(shell, target, from);
        const bool keepAlive = exchange.parser.keep_alive() && exchange.parser.is_done();
        response.keep_alive(keepAlive);
        response.prepare_payload();
        stream.expires_after(exchange.limits.idleTimeout);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !keepAlive)
            co_return;
    }
}

asio::awaitable<void> serveCallers(entry_shell& shell, tcp::acceptor& acceptor)
{
    error_code error;
    while (acceptor.is_open()) {
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (!error)
            asio::co_spawn(shell.context, serveCaller(shell, std::move(socket)), asio::detached);
    }
}

/** The event for an ended probe. The body may report `leaving` and `inflight`; a malformed body is ignored. */
static probe_ended decodeProbe(const send_probe& probe, const http_call_result& reply)
{
    probe_ended event { probe.service, probe.endpoint, false, false, 0 };
    if (reply.result != http_result::ResponseReceived)
        return event;
    event.answered = reply.response.result() == http::status::ok;
    event.leaving = reply.response.result() == http::status::service_unavailable;
    const auto parsed = parseJson(reply.response.body());
    if (!parsed || !parsed.value->is_object())
        return event;
    const auto& report = parsed.value->get_object();
    if (const auto* leaving = report.if_contains("leaving"); leaving && leaving->is_bool())
        event.leaving = event.leaving || leaving->get_bool();
    if (const auto* inflight = report.if_contains("inflight"); inflight && inflight->is_int64())
        event.inflight = static_cast<std::uint32_t>(inflight->get_int64());
    return event;
}

static asio::awaitable<void> runProbe(entry_shell& shell, send_probe probe)
{
    const auto endpoint = parseAddress(probe.address);
    if (!endpoint)
        co_return;
    http_request request(http::verb::get, probe.path, 11);
    request.keep_alive(false);
    const auto reply = co_await httpCall(*endpoint, std::move(request), ProbeTimeout);
    feedEvent(shell, decodeProbe(probe, reply));
}

void probeEndpoint(entry_shell& shell, const send_probe& probe)
{
    asio::co_spawn(shell.context, runProbe(shell, probe), asio::detached);
}

} // namespace lhub
