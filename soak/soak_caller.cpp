/** @file soak_caller.cpp The callers of a soak. */
#include "platform/messages.h"
#include "platform/standin/operator_standin.h"
#include "soak/soak_world.h"

#include <random>

namespace lhub::soak {

using error_code = boost::system::error_code;

static constexpr milliseconds LookUpTime { 1000 }; ///< Longest look-up.
static constexpr milliseconds AnswerTime { 5000 }; ///< Longest wait for an answer; longer than any route's time.
static constexpr milliseconds Patience { 3000 }; ///< As told to the VM.
static constexpr unsigned MostPipelined = 4; ///< Requests sent before the first answer.
static constexpr unsigned MostOnConnection = 12; ///< Requests until a caller takes a new connection.

/** The VM of an address. */
static std::size_t gateAt(const soak_world& world, const std::string& ip)
{
    for (std::size_t i = 0; i < world.gates.size(); ++i) {
        if (world.gates[i].ip == ip)
            return i;
    }
    return 0;
}

/** Asks a VM at random which one to use. @return its index; nothing when there was no answer. */
static asio::awaitable<std::optional<std::size_t>> lookUp(soak_world& world, std::mt19937_64& draws)
{
    const auto& asked = world.gates[draws() % world.gates.size()];
    http_request request(http::verb::get, draws() % 2 ? platform::lookupTarget("soak", "a", "a1") : platform::lookupTarget("soak", "b", "b1"), 11);
    const auto reply = co_await httpCall({ asio::ip::make_address(asked.ip), world.lookupPort }, request, LookUpTime);
    if (reply.result != http_result::Answered || reply.response.result() != http::status::ok)
        co_return std::nullopt;
    const auto chosen = platform::addressIn(reply.response.body(), draws());
    co_return gateAt(world, chosen.substr(0, chosen.rfind(':')));
}

static http_request makeRequest(soak_world& world, std::mt19937_64& draws, request_record& record)
{
    http_request request(http::verb::get, "/read/" + std::to_string(draws() % 50), 11);
    const auto draw = draws() % 10;
    if (draw < 4) {
        request.method(http::verb::post);
        request.target("/write/x");
        request.body() = std::string(1 + draws() % 20'000, 'b');
        record.repeatable = false;
    } else if (draw == 4) {
        record.version = world.version;
        request.target("/v" + std::to_string(world.version) + "/x");
    }
    request.set(http::field::host, "soak");
    platform::addCaller(request, record.id, Patience, std::to_string(draws() % 50));
    if (draw < 2) {
        request.chunked(true);
        request.erase(http::field::content_length);
    } else {
        request.prepare_payload();
    }
    return request;
}

/** Takes an answer into account. */
static void noteAnswer(request_record& record, const http_response& answer)
{
    const auto status = answer.result_int();
    const auto facts = platform::decodeAnswer(answer, status);
    record.status = status;
    record.inOrder = facts.id.empty() || facts.id == record.id;
    const bool success = status >= 200 && status < 300;
    record.wrong = success && (!facts.signedAnswer || answer.body().rfind(record.id, 0) != 0);
}

/** Some requests on one connection, now and then several before the first answer. @return whether it can go on. */
static asio::awaitable<bool> exchangeSome(soak_world& world, beast::tcp_stream& stream, beast::flat_buffer& buffer, std::size_t gate, unsigned start, unsigned caller, std::mt19937_64& draws)
{
    const unsigned count = draws() % 4 == 0 ? 1 + draws() % MostPipelined : 1;
    std::vector<std::size_t> sent;
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    stream.expires_after(AnswerTime);
    for (unsigned i = 0; i < count && !error; ++i) {
        request_record record;
        record.id = "c" + std::to_string(caller) + "-" + std::to_string(world.record.requests.size());
        record.gate = static_cast<unsigned>(gate);
        record.start = start;
        record.sentAt = sinceBegun(world);
        const auto request = makeRequest(world, draws, record);
        sent.push_back(world.record.requests.size());
        const bool alone = !record.repeatable;
        world.record.requests.push_back(record);
        co_await http::async_write(stream, request, token);
        if (alone) // Only repeatable requests are sent before earlier ones are answered.
            break;
    }
    bool going = !error;
    for (const auto index : sent) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        if (going)
            co_await http::async_read(stream, buffer, parser, token);
        auto& record = world.record.requests[index];
        record.endedAt = sinceBegun(world);
        going = going && !error;
        if (!going)
            continue;
        noteAnswer(record, parser.get());
        going = parser.get().keep_alive();
    }
    co_return going;
}

asio::awaitable<void> playCaller(soak_world& world, unsigned number)
{
    std::mt19937_64 draws(world.settings.seed * 1000 + number);
    static constexpr milliseconds Pause { 50 };
    while (!world.over) {
        const auto gate = co_await lookUp(world, draws);
        if (!gate) {
            co_await rest(Pause);
            continue;
        }
        const auto start = world.gates[*gate].starts;
        beast::tcp_stream stream(world.context);
        error_code error;
        stream.expires_after(LookUpTime);
        co_await stream.async_connect(tcp::endpoint(asio::ip::make_address(world.gates[*gate].ip), world.callerPort), asio::redirect_error(asio::use_awaitable, error));
        beast::flat_buffer buffer;
        bool going = !error;
        // Callers use their connection until it is closed, also while the VM stops.
        for (unsigned i = 0; going && i < MostOnConnection && !world.over; ++i) {
            going = co_await exchangeSome(world, stream, buffer, *gate, start, number, draws);
            co_await rest(milliseconds(draws() % 40));
        }
    }
}

} // namespace lhub::soak
