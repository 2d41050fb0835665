/** @file lhub_standin.cpp The test-only program lhub-standin: the platform's store, or a set of endpoints. */
#include "net/http_func.h"
#include "programs/program.h"
#include "standin/endpoint_standin.h"
#include "standin/store_standin.h"
#include <boost/asio/signal_set.hpp>
#include <list>

namespace lhub {

namespace {

    /** One endpoint to serve, as in the file that --endpoints names. */
    struct endpoint_row {
        std::string service; ///< Its service.
        std::string name; ///< Its name.
        std::string address; ///< Where it listens.
        std::uint32_t slots = 3; ///< Requests at once.
        std::uint32_t serviceMs = 20; ///< Time of one request.
    };

    /** All servers of the process. */
    struct standin_servers {
        asio::io_context context { 1 }; ///< Runs them.
        std::list<tcp::acceptor> acceptors; ///< Their listening sockets.
    };

} // namespace

static const std::vector<json_field<endpoint_row>>& rowFields()
{
    static const std::vector<json_field<endpoint_row>> Table {
        nameField("service", &endpoint_row::service),
        nameField("name", &endpoint_row::name),
        addressField("address", &endpoint_row::address),
        numberField("slots", &endpoint_row::slots, 1U, 10'000U, false),
        numberField("service_ms", &endpoint_row::serviceMs, 0U, 600'000U, false),
    };
    return Table;
}

/** Serves @p handler at @p address; false when it cannot listen. */
static bool serveAt(standin_servers& servers, const std::string& address, http_handler handler)
{
    auto acceptor = listenAt(servers.context.get_executor(), address);
    if (!acceptor) {
        LOG(ERROR) << acceptor.reason;
        return false;
    }
    servers.acceptors.push_back(std::move(*acceptor));
    asio::co_spawn(servers.context, serveHttp(servers.acceptors.back(), std::move(handler), {}), asio::detached);
    return true;
}

/** Starts the endpoints that the file lists. */
static int serveEndpoints(standin_servers& servers, const std::string& file, const std::string& control)
{
    const std::ifstream input(file);
    std::stringstream text;
    text << input.rdbuf();
    const auto rows = parseJson(text.str());
    if (!rows || !rows.value->is_array()) {
        LOG(ERROR) << file << ": expected a list of endpoints; " << rows.reason;
        return ExitBadSettings;
    }
    auto endpoints = std::make_shared<endpoint_standins>();
    for (const auto& value : rows.value->get_array()) {
        endpoint_row row;
        const auto faults = readFields(rowFields(), value, row);
        if (!faults.empty()) {
            LOG(ERROR) << describeFaults(file, faults);
            return ExitBadSettings;
        }
        auto endpoint = std::make_shared<endpoint_standin>();
        endpoint->service = row.service;
        endpoint->name = row.name;
        endpoint->slots = row.slots;
        endpoint->serviceMs = row.serviceMs;
        (*endpoints)[row.address] = endpoint;
        if (!serveAt(servers, row.address, makeEndpointHandler(endpoint)))
            return ExitFailed;
    }
    return serveAt(servers, control, makeEndpointControl(endpoints)) ? ExitDone : ExitFailed;
}

static int runStandin(const std::string& store, const std::string& endpoints, const std::string& control)
{
    standin_servers servers;
    if (!store.empty() && !serveAt(servers, store, makeStoreHandler(std::make_shared<store_standin>())))
        return ExitFailed;
    if (!endpoints.empty()) {
        const int failed = serveEndpoints(servers, endpoints, control);
        if (failed != ExitDone)
            return failed;
    }
    asio::signal_set signals(servers.context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { servers.context.stop(); });
    servers.context.run();
    return ExitDone;
}

} // namespace lhub

int main(int argc, char** argv)
{
    CLI::App app("stand-in for the platform's store and for endpoints; for tests and demos only");
    std::string store;
    std::string endpoints;
    std::string control;
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("--store", store, "serve the store at IP:port");
    const auto* file = app.add_option("--endpoints", endpoints, "serve the endpoints that this file lists");
    app.add_option("--control", control, "serve totals of the endpoints at IP:port");
    CLI11_PARSE(app, argc, argv);
    if (store.empty() && file->empty()) {
        std::cerr << "--store or --endpoints: expected at least one\n";
        return lhub::ExitBadSettings;
    }
    lhub::startLogs(argv[0]);
    return lhub::runStandin(store, endpoints, control);
}
