/** @file behind_broken_answer.cpp A client sends reads behind a download on a kept connection; the upstream of the download breaks off its answer. */
#include "cases.h"

namespace lhub::review {

static constexpr milliseconds Deadline { 4000 };
static constexpr unsigned Connections = 4;
static constexpr unsigned ReadsBehind = 3; ///< On each connection.
static constexpr unsigned MostLost = 3; ///< "more than three times" breaks the rule.

static std::string getRequest(const std::string& path, const std::string& id)
{
    return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(Deadline.count()) + "\r\nCookie: X-Affinity-Key=" + id + "\r\n\r\n";
}

/** Reads responses until the connection ends or @p ids are all answered. @return the ids that got a complete response. */
static asio::awaitable<std::set<std::string>> readResponses(world& world, client_connection& connection, std::vector<std::string> ids)
{
    std::set<std::string> answered;
    for (const auto& id : ids) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        error_code error;
        connection.stream->expires_after(Deadline + seconds(2));
        co_await http::async_read(*connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            note(world, "client: connection ends while " + id + " is awaited: " + error.message());
            break;
        }
        note(world, "client: " + id + " answered " + std::to_string(parser.get().result_int()));
        answered.insert(id);
    }
    co_return answered;
}

asio::awaitable<int> playBehindBrokenAnswer(world& world)
{
    world.config.services["archive"] = { "archive", 390, seconds(3), 4 };
    world.config.services["registry"] = { "registry", 390, seconds(3), 4 };
    world.config.routes = { makeRoute("bundle", "/bundle/", "archive", true, Deadline, milliseconds(1000)), makeRoute("lookup", "/lookup/", "registry", true, Deadline, milliseconds(1500)) };
    publishConfig(world);
    auto& faulty = addUpstream(world, "i-archive", "archive", "a1", 4, milliseconds(100));
    faulty.answerBytes = 200'000;
    for (const auto* zone : { "a1", "a1", "a2", "a2" })
        addUpstream(world, "i-" + std::to_string(world.upstreams.size()), "registry", zone, 4, milliseconds(600));
    startMachines(world, { "a1", "a2", "b1" });
    const bool ready = co_await awaitReady(world, seconds(20));
    if (!ready)
        co_return CannotRun;
    co_await sleepFor(seconds(5));
    if (world.trouble)
        faulty.cutAfter = 100'000;
    unsigned lost = 0;
    for (unsigned i = 0; i < Connections; ++i) {
        const auto connection = co_await connectTo(world, world.gates.front());
        if (!connection)
            co_return CannotRun;
        const auto first = co_await sendRequest(world, *connection, "GET", "/lookup/first", Deadline);
        if (first.status != 200 || first.closes)
            co_return CannotRun;
        const auto number = std::to_string(i);
        std::vector<std::string> ids { "bundle" + number };
        std::string bytes = getRequest("/bundle/x", ids.front());
        for (unsigned read = 0; read < ReadsBehind; ++read) {
            ids.push_back("lookup" + number + "-" + std::to_string(read));
            bytes += getRequest("/lookup/x", ids.back());
        }
        note(world, "client sends " + ids.front() + " and " + std::to_string(ReadsBehind) + " look-ups behind it");
        error_code error;
        co_await asio::async_write(*connection->stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        const auto answered = co_await readResponses(world, *connection, ids);
        co_await sleepFor(milliseconds(300));
        for (const auto& run : world.runs) {
            const bool isOurs = std::find(ids.begin() + 1, ids.end(), run.id) != ids.end();
            if (!isOurs || answered.count(run.id) > 0 || run.upstream == faulty.entry.id)
                continue;
            ++lost;
            note(world, "LOST: " + run.id + " was passed on to " + run.upstream + ", which is sound, and its connection closed without an answer");
        }
    }
    note(world, std::to_string(lost) + " requests of kept connections were passed on to sound upstreams and not answered");
    co_return lost > MostLost ? RuleBroken : RuleHeld;
}

} // namespace lhub::review
