/** @file soak_caller.cpp Callers of a soak: look-ups, and requests on persistent connections. */
#include "net/response_head_func.h"
#include "platform/messages.h"
#include "platform/standin/operator_standin.h"
#include "soak/soak_world.h"

#include <algorithm>
#include <optional>
#include <random>
#include <sys/socket.h>

namespace lhub::soak {

using error_code = boost::system::error_code;

static constexpr milliseconds LookupTimeout { 1000 }; ///< For a look-up, and for connecting.
static constexpr milliseconds ResponseTimeout { 5000 }; ///< For the requests of one exchange; longer than the timeout of any route.
static constexpr milliseconds CallerTimeout { 3000 }; ///< Sent with each request.
static constexpr unsigned MaxPipelined = 4; ///< Most requests sent before the first response is read.
static constexpr milliseconds MaxIdle { 8000 }; ///< Longest time that a caller keeps an idle connection in the scenario of planned operations.
static constexpr milliseconds LookupKeepTime { 6000 }; ///< Longest time that a caller uses the response of a look-up in that scenario; three lifetimes.
static constexpr std::size_t PoolSize = 16; ///< Connections that a caller of orders keeps in the scenario of habits.
static constexpr milliseconds MaxHabitPause { 1000 }; ///< Longest pause between two exchanges in that scenario.
static constexpr unsigned MaxExchangesPerConnection = 12; ///< Most exchanges, of one or more pipelined requests, before a caller opens a new connection.

/** Index of the VM with an IP; 0 when there is none. */
static std::size_t gateIndex(const soak_state& state, const std::string& ip)
{
    for (std::size_t i = 0; i < state.gates.size(); ++i) {
        if (state.gates[i].ip == ip)
            return i;
    }
    return 0;
}

/** Asks a random VM which one to use. @return the index of that one; nothing when the look-up failed. */
static asio::awaitable<std::optional<std::size_t>> lookUp(soak_state& state, std::mt19937_64& random)
{
    const auto& asked = state.gates[random() % state.gates.size()];
    http_request request(http::verb::get, random() % 2 ? platform::lookupTarget("soak", "a", "a1") : platform::lookupTarget("soak", "b", "b1"), 11);
    const auto reply = co_await httpCall({ asio::ip::make_address(asked.ip), state.lookupPort }, request, LookupTimeout);
    if (reply.result != http_result::ResponseReceived || reply.response.result() != http::status::ok)
        co_return std::nullopt;
    const auto chosen = platform::addressIn(reply.response.body(), random());
    co_return gateIndex(state, chosen.substr(0, chosen.rfind(':')));
}

/** A random request: four of ten are not repeatable, one of ten asks for the route of the newest configuration. */
static http_request makeRequest(soak_state& state, std::mt19937_64& random, request_record& record)
{
    http_request request(http::verb::get, "/read/" + std::to_string(random() % 50), 11);
    const auto draw = random() % 10;
    if (draw < 4) {
        request.method(http::verb::post);
        request.target("/write/x");
        request.body() = std::string(1 + random() % 20'000, 'b');
        record.repeatable = false;
    } else if (draw == 4) {
        record.configVersion = state.configVersion;
        request.target("/v" + std::to_string(state.configVersion) + "/x");
    }
    request.set(http::field::host, "soak");
    platform::addCaller(request, record.id, CallerTimeout, std::to_string(random() % 50));
    if (draw < 2) {
        request.chunked(true);
        request.erase(http::field::content_length);
    } else {
        request.prepare_payload();
    }
    return request;
}

/** Records the response to a request. */
static void recordResponse(request_record& record, const http_response& response)
{
    const auto status = response.result_int();
    const auto facts = platform::decodeEndpointHeaders(response, status);
    record.status = status;
    record.inOrder = facts.id.empty() || facts.id == record.id;
    const bool success = status >= 200 && status < 300;
    record.wrong = success && (!facts.fromEndpoint || response.body().rfind(record.id, 0) != 0);
}

/** A request of a caller with a habit. */
static http_request makeHabitRequest(const habit_demand& demand, std::mt19937_64& random, request_record& record)
{
    http_request request(demand.repeatable ? http::verb::get : http::verb::post, "/" + std::string(demand.service) + "/" + std::to_string(random() % 50), 11);
    if (!demand.repeatable)
        request.body() = std::string(1 + random() % 2000, 'b');
    record.repeatable = demand.repeatable;
    record.habit = demand.habit;
    request.set(http::field::host, "soak");
    platform::addCaller(request, record.id, demand.deadline, std::to_string(random() % 50));
    request.prepare_payload();
    return request;
}

/** A connection of a caller to a VM. */
struct caller_connection {
    explicit caller_connection(soak_state& state)
        : stream(state.context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer; ///< Bytes received and not yet parsed.
    std::size_t gate = 0; ///< Index of the VM.
    unsigned gateStart = 0; ///< Number of starts of that VM when the connection was opened.
    unsigned caller = 0; ///< Number of the caller.
};

/**
 * Sends up to @p count requests and reads the responses.
 * @param demand what to ask for; null for random requests.
 * @return whether the connection can be used again.
 */
static asio::awaitable<bool> exchangeRequests(soak_state& state, caller_connection& connection, const habit_demand* demand, unsigned count, std::mt19937_64& random)
{
    auto& [stream, buffer, gate, gateStart, caller] = connection;
    std::vector<std::size_t> sent;
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    stream.expires_after(ResponseTimeout);
    for (unsigned i = 0; i < count && !error; ++i) {
        request_record record;
        record.id = "c" + std::to_string(caller) + "-" + std::to_string(state.record.requests.size());
        record.gate = static_cast<unsigned>(gate);
        record.gateStart = gateStart;
        record.sentAt = sinceTrafficStart(state);
        const auto request = demand ? makeHabitRequest(*demand, random, record) : makeRequest(state, random, record);
        sent.push_back(state.record.requests.size());
        const bool alone = !record.repeatable;
        record.alone = count == 1;
        state.record.requests.push_back(record);
        co_await http::async_write(stream, request, token);
        if (alone) // Nothing is pipelined behind a request that is not repeatable.
            break;
    }
    bool reusable = !error;
    for (const auto index : sent) {
        whole_response received;
        if (reusable)
            received = co_await readWholeResponse(stream, buffer, http::verb::get); // No request is a HEAD.
        auto& record = state.record.requests[index];
        record.endedAt = sinceTrafficStart(state);
        reusable = reusable && !received.error;
        if (!reusable)
            continue;
        recordResponse(record, received.response);
        reusable = received.keepAlive;
    }
    co_return reusable;
}

/** Whether the VM has neither closed the connection nor sent anything on it. */
static bool isOpenAndSilent(beast::tcp_stream& stream)
{
    char byte = 0;
    return ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

/** How long a caller pauses before the next request on a connection. */
static milliseconds pauseBetweenRequests(const soak_state& state, std::mt19937_64& random)
{
    const bool keepsIdle = state.settings.scenario == soak_scenario::Planned && random() % 2 == 0;
    return milliseconds(random() % (keepsIdle ? MaxIdle.count() : 40));
}

/** Opens a connection to a VM. @return null when that failed. */
static asio::awaitable<std::unique_ptr<caller_connection>> openConnection(soak_state& state, std::size_t gate, unsigned number)
{
    auto connection = std::make_unique<caller_connection>(state);
    connection->gate = gate;
    connection->gateStart = state.gates[gate].starts;
    connection->caller = number;
    error_code error;
    connection->stream.expires_after(LookupTimeout);
    co_await connection->stream.async_connect(tcp::endpoint(asio::ip::make_address(state.gates[gate].ip), state.callerPort), asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return nullptr;
    co_return connection;
}

/** Uses one connection until the VM closes it, also while the VM is stopping. @return whether a connection was made. */
static asio::awaitable<bool> useConnection(soak_state& state, std::size_t gate, unsigned number, std::mt19937_64& random)
{
    const auto connection = co_await openConnection(state, gate, number);
    bool reusable = connection != nullptr;
    for (unsigned i = 0; reusable && i < MaxExchangesPerConnection && !state.trafficEnded; ++i) {
        const unsigned count = random() % 4 == 0 ? 1 + random() % MaxPipelined : 1;
        reusable = co_await exchangeRequests(state, *connection, nullptr, count, random);
        co_await sleepFor(pauseBetweenRequests(state, random));
        // After a long pause a caller looks whether the VM has ended the connection.
        reusable = reusable && (state.settings.scenario == soak_scenario::Faults || isOpenAndSilent(connection->stream));
    }
    co_return connection != nullptr;
}

/** A caller with a habit. */
struct habit_caller {
    unsigned number = 0;
    std::mt19937_64 random;
    std::optional<std::size_t> gate; ///< VM of the newest look-up.
    milliseconds lookedUpAt { 0 }; ///< Time of that look-up since the start of the traffic.
    std::vector<std::unique_ptr<caller_connection>> pool; ///< Kept connections.
};

/** Opens a connection to the VM of the newest look-up, or of a new one when that has expired. @return null when that failed. */
static asio::awaitable<std::unique_ptr<caller_connection>> openByLookup(soak_state& state, habit_caller& caller)
{
    static constexpr milliseconds Lifetime { 2000 };
    const auto keepTime = caller.number % 5 == 0 ? LookupKeepTime : Lifetime;
    if (!caller.gate || sinceTrafficStart(state) - caller.lookedUpAt >= keepTime) {
        caller.gate = co_await lookUp(state, caller.random);
        caller.lookedUpAt = sinceTrafficStart(state);
    }
    if (!caller.gate)
        co_return nullptr;
    auto connection = co_await openConnection(state, *caller.gate, caller.number);
    if (!connection)
        caller.gate.reset();
    co_return connection;
}

/** Fills the pool, with a look-up for each connection. */
static asio::awaitable<void> fillPool(soak_state& state, habit_caller& caller)
{
    for (std::size_t i = 0; i < PoolSize; ++i) {
        caller.gate.reset();
        auto connection = co_await openByLookup(state, caller);
        if (connection)
            caller.pool.push_back(std::move(connection));
    }
}

/** Adds a connection to the pool when that is not full, then takes a random one. @return null when there is none. */
static asio::awaitable<std::unique_ptr<caller_connection>> takeFromPool(soak_state& state, habit_caller& caller)
{
    auto& pool = caller.pool;
    if (pool.size() < PoolSize) {
        auto added = co_await openByLookup(state, caller);
        if (added)
            pool.push_back(std::move(added));
    }
    if (pool.empty())
        co_return nullptr;
    std::swap(pool[caller.random() % pool.size()], pool.back());
    auto connection = std::move(pool.back());
    pool.pop_back();
    co_return connection;
}

/** One exchange of a caller with a habit. @return whether there was a connection for it. */
static asio::awaitable<bool> exchangeByHabit(soak_state& state, habit_caller& caller)
{
    auto& pool = caller.pool;
    pool.erase(std::remove_if(pool.begin(), pool.end(), [](const auto& each) { return !isOpenAndSilent(each->stream); }), pool.end());
    const auto& demand = demandOfCaller(caller.number);
    const bool fresh = demand.habit == caller_habit::FreshDownloads;
    const bool pipelined = demand.habit == caller_habit::PipelinedRecords;
    auto connection = pipelined && !pool.empty() ? std::move(pool.back()) : nullptr;
    if (connection)
        pool.pop_back();
    else if (demand.habit == caller_habit::PooledOrders)
        connection = co_await takeFromPool(state, caller);
    else
        connection = co_await openByLookup(state, caller);
    if (!connection)
        co_return false;
    const unsigned count = pipelined ? 1 + caller.random() % MaxPipelined : 1;
    const bool reusable = co_await exchangeRequests(state, *connection, &demand, count, caller.random);
    if (reusable && !fresh)
        pool.push_back(std::move(connection));
    co_return true;
}

/** Exchanges by the habit of a caller until the traffic ends. */
static asio::awaitable<void> runHabitCaller(soak_state& state, unsigned number)
{
    static constexpr milliseconds PauseAfterFailure { 50 };
    habit_caller caller;
    caller.number = number;
    caller.random.seed(state.settings.seed * 1000 + number);
    if (demandOfCaller(number).habit == caller_habit::PooledOrders)
        co_await fillPool(state, caller);
    while (!state.trafficEnded) {
        const bool connected = co_await exchangeByHabit(state, caller);
        const auto pause = connected ? milliseconds(caller.random() % MaxHabitPause.count()) : PauseAfterFailure;
        co_await sleepFor(pause);
    }
}

asio::awaitable<void> runCaller(soak_state& state, unsigned number)
{
    if (state.settings.scenario == soak_scenario::Habits) {
        co_await runHabitCaller(state, number);
        co_return;
    }
    std::mt19937_64 random(state.settings.seed * 1000 + number);
    static constexpr milliseconds Pause { 50 };
    std::optional<std::size_t> gate;
    milliseconds lookedUpAt { 0 };
    while (!state.trafficEnded) {
        const bool keepsLookup = gate && state.settings.scenario == soak_scenario::Planned && random() % 2 == 0 && sinceTrafficStart(state) - lookedUpAt < LookupKeepTime;
        if (!keepsLookup) {
            gate = co_await lookUp(state, random);
            lookedUpAt = sinceTrafficStart(state);
        }
        if (!gate) {
            co_await sleepFor(Pause);
            continue;
        }
        const bool connected = co_await useConnection(state, *gate, number, random);
        if (!connected)
            gate.reset();
    }
}

} // namespace lhub::soak
