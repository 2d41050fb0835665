/** @file entry_http.cpp HTTP of lhub-entry: look-ups, services, health, metrics; and probes of endpoints. */
#include "core/hash.h"
#include "core/json_fields.h"
#include "explain/explain_func.h"
#include "member/member_func.h"
#include "net/http_func.h"
#include "once/once_func.h"
#include "shell/exchange_type.h"
#include "steer/steer_func.h"

namespace lhub {

using error_code = boost::system::error_code;

constexpr milliseconds ProbeTimeout { 1000 };
constexpr unsigned BlockBits = 8; // clients of one /24 go the same way

/** Peers of this zone that are known to be dead or leaving, whatever the configuration still says. */
static std::set<std::string> deadPeers(const entry_state& state)
{
    std::set<std::string> dead;
    for (const auto& [vm, peer] : state.members.peers) {
        if (!isAlive(state.members, peer) || peer.leaving)
            dead.insert(vm);
    }
    if (state.members.leaving)
        dead.insert(state.vm);
    return dead;
}

static std::string encodeAnswer(const steer_answer& answer, const std::string& service)
{
    json::array choices;
    for (const auto& choice : answer.choices)
        choices.push_back({ { "vm", choice.vm }, { "address", choice.address }, { "weight", choice.weight } });
    const json::value document = { { "service", service }, { "zone", answer.zone },
        { "lifetime_s", answer.lifetimeSeconds }, { "revision", answer.revision }, { "vms", std::move(choices) } };
    return json::serialize(document);
}

namespace {

    /** A look-up's result: an answer, or the problem to send instead. */
    struct lookup_result {
        steer_answer answer; ///< Empty of choices when there is a problem.
        std::string client; ///< The client's address.
        std::string service; ///< The service asked for.
        std::optional<http_response> problem; ///< Why there is no answer.
    };

} // namespace

/** Carries out a look-up. Reads the state only. */
static lookup_result lookUp(const entry_shell& shell, std::string_view target, const asio::ip::address& from)
{
    auto query = queryOf(target);
    lookup_result result { {}, query["client"], query["service"], std::nullopt };
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
    const auto* zone = client.is_v4() ? zoneOfClient(shell.clients, address) : nullptr;
    const auto block = client.is_v4() ? std::to_string(address >> BlockBits) : client.to_string();
    result.client = client.to_string();
    result.answer
        = steerClient(shell.index, zone ? *zone : shell.state.zone, stableHash(block), deadPeers(shell.state));
    result.answer.revision = shell.state.config.revision;
    result.answer.lifetimeSeconds = static_cast<std::uint32_t>(shell.state.limits.lookupLifetime.count());
    if (result.answer.choices.empty())
        result.problem = makeProblem(http::status::service_unavailable, "no entry VM", "no entry VM takes callers");
    return result;
}

/** Answers a look-up. */
static http_response answerLookup(entry_shell& shell, std::string_view target, const asio::ip::address& from)
{
    auto result = lookUp(shell, target, from);
    if (result.problem)
        return std::move(*result.problem);
    ++shell.state.counters.lookups;
    return makeAnswer(http::status::ok, encodeAnswer(result.answer, result.service));
}

/** Explains a look-up and what follows, a sentence a line. */
static http_response answerExplain(const entry_shell& shell, std::string_view target, const asio::ip::address& from)
{
    auto result = lookUp(shell, target, from);
    if (result.problem)
        return std::move(*result.problem);
    std::string text;
    for (const auto& sentence : explainRequest(shell.state, result.answer, result.client, result.service))
        text += sentence + "\n";
    return makeAnswer(http::status::ok, std::move(text), "text/plain");
}

/** Ready: the configuration has arrived, and this VM is not leaving. */
static http_response answerReady(const entry_shell& shell)
{
    if (shell.state.config.revision == 0)
        return makeProblem(http::status::service_unavailable, "not ready", "no configuration yet");
    if (shell.state.members.leaving)
        return makeProblem(http::status::service_unavailable, "leaving", "this VM is stopping");
    return makeAnswer(http::status::ok, "{}");
}

/** A prefix for idempotency keys whose home is this VM. */
static http_response answerKeyPrefix(const entry_shell& shell)
{
    const auto prefix = makeKeyPrefix(shell.state.vm, shell.state.members.incarnation, shell.clock.now());
    const auto lifetime = shell.state.keys.lifetime / 2;
    return makeAnswer(
        http::status::ok, json::serialize(json::value { { "prefix", prefix }, { "lifetime_s", lifetime.count() } }));
}

/** Answers everything that is not a request for a service. */
static http_response answerOwn(entry_shell& shell, const std::string& target, const asio::ip::address& from)
{
    const auto path = pathOf(target);
    if (path == "/v1/steer")
        return answerLookup(shell, target, from);
    if (path == "/v1/explain")
        return answerExplain(shell, target, from);
    if (path == "/v1/key")
        return answerKeyPrefix(shell);
    if (path == "/v1/status")
        return makeAnswer(http::status::ok, statusText(shell));
    if (path == "/metrics")
        return makeAnswer(http::status::ok, metricsText(shell), "text/plain; version=0.0.4");
    if (path == "/healthz")
        return makeAnswer(http::status::ok, "{}");
    if (path == "/readyz")
        return answerReady(shell);
    return makeProblem(http::status::not_found, "no such path", path);
}

/** Service in a target "/s/SERVICE/..."; empty for other targets. */
static std::string serviceIn(const std::string& target)
{
    if (target.rfind(ServicePrefix, 0) != 0)
        return {};
    const auto rest = target.substr(ServicePrefix.size());
    return rest.substr(0, rest.find_first_of("/?"));
}

/** Reads the head of the next request; false ends the connection. */
static asio::awaitable<bool> readHead(exchange& each)
{
    error_code error;
    each.parser.body_limit(boost::none);
    each.parser.header_limit(each.limits.headerBytes);
    each.caller.expires_after(each.limits.idle);
    co_await http::async_read_header(
        each.caller, each.buffer, each.parser, asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        co_return true;
    const bool nothing = error == http::error::end_of_stream || error.category() == asio::error::get_system_category()
        || error == beast::error::timeout;
    if (nothing)
        co_return false;
    auto response = makeProblem(http::status::bad_request, "bad request", error.message());
    response.keep_alive(false);
    response.prepare_payload();
    co_await http::async_write(each.caller, response, asio::redirect_error(asio::use_awaitable, error));
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
        exchange each { shell, stream, buffer, {}, from.to_string(), 0, {}, {}, {}, true, false, false, true, nullptr, {} };
        if (!co_await readHead(each))
            co_return;
        const std::string target(each.parser.get().target());
        each.service = serviceIn(target);
        if (!each.service.empty()) {
            co_await serveExchange(each);
            if (!each.keepCaller)
                co_return;
            continue;
        }
        auto response = answerOwn(shell, target, from);
        const bool keep = each.parser.keep_alive() && each.parser.is_done();
        response.keep_alive(keep);
        response.prepare_payload();
        stream.expires_after(each.limits.idle);
        co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
        if (error || !keep)
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

/** Reads a probe's answer. */
static probe_ended decodeProbe(const send_probe& probe, const http_reply& reply)
{
    probe_ended event { probe.service, probe.endpoint, false, false, 0 };
    if (reply.result != http_result::Answered)
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
