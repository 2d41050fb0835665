/** @file lhub_standin.cpp The program lhub-standin, for tests and demos only: a stand-in for the store and for endpoints. */
#include "net/http_func.h"
#include "programs/program.h"
#include "standin/endpoint_standin.h"
#include "standin/store_standin.h"
#include <boost/asio/signal_set.hpp>
#include <list>

namespace lhub {

namespace {

    /** One endpoint to serve, as listed in the file of --endpoints. */
    struct endpoint_row {
        std::string service; ///< Name of the service.
        std::string name; ///< Name of the endpoint.
        std::string address; ///< IP:port to listen at.
        std::uint32_t slots = 3; ///< Requests that it serves concurrently.
        std::uint32_t serviceMs = 20; ///< Time to serve one request, in milliseconds.
    };

    /** All servers of the process. */
    struct standin_servers {
        asio::io_context context { 1 };
        std::list<tcp::acceptor> acceptors; ///< Listening sockets; a list, because they must not move while in use.
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

/** Serves @p handler at @p address. Returns false if listening fails. */
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

/** Starts the endpoints listed in @p file and serves their totals at @p control. Returns an exit code. */
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
    lhub::initLogging(argv[0]);
    return lhub::runStandin(store, endpoints, control);
}
