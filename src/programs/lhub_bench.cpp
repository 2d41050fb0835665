/** @file lhub_bench.cpp The program lhub-bench: takes the measurements of docs/MEASUREMENTS.md and docs/CAPACITY.md. */
#include "bench/bench_func.h"
#include "programs/program.h"

int main(int argc, char** argv)
{
    CLI::App app("measurements");
    std::uint64_t seed = 1;
    std::string direct;
    std::string through;
    std::string target;
    int rounds = 5000;
    int connections = 8;
    int seconds = 5;
    int code = lhub::ExitDone;
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("--seed", seed, "seed of arrivals");
    app.require_subcommand(1);
    app.add_subcommand("endpoint-choice", "policies of endpoint choice under the same arrivals")->callback([&] {
        lhub::benchEndpointChoice(seed);
    });
    app.add_subcommand("steer", "client table and look-ups without the network")->callback([&] {
        lhub::benchClientLookup(seed);
    });
    auto* place = app.add_subcommand("place", "placement and admission of lhub-gate under played loads, against simpler policies");
    place->add_option("--svg", target, "file for a plot of worth over time");
    place->callback([&] { lhub::benchPlacement(seed, target); });
    app.add_subcommand("capacity", "slopes for docs/CAPACITY.md")->callback([] { lhub::benchCapacity(); });
    auto* forward = app.add_subcommand("forward", "what an entry VM adds to a request");
    forward->add_option("direct", direct, "IP:port/path of the endpoint")->required();
    forward->add_option("through", through, "IP:port/path of the entry VM")->required();
    forward->add_option("--rounds", rounds, "pairs of requests");
    forward->callback([&] { code = lhub::benchForward(direct, through, rounds); });
    auto* lookups = app.add_subcommand("lookups", "look-ups a second over HTTP");
    lookups->add_option("entry", through, "IP:port of the entry VM")->required();
    lookups->add_option("target", target, "path and query")->required();
    lookups->add_option("--connections", connections, "connections");
    lookups->add_option("--seconds", seconds, "how long");
    lookups->callback([&] { code = lhub::benchLookups(through, target, connections, seconds); });
    CLI11_PARSE(app, argc, argv);
    return code;
}
