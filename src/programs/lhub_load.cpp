/** @file lhub_load.cpp The program lhub-load: sends requests as callers do and checks every response. */
#include "load/load_func.h"
#include "programs/program.h"
#include <iomanip>

namespace lhub {

/** Reads the streams of a plan. Prints the faults and returns nothing if there are any. */
static std::optional<std::vector<load_stream>> readStreams(const std::string& file)
{
    const std::ifstream input(file);
    std::stringstream text;
    text << input.rdbuf();
    const auto parsed = parseJson(text.str());
    if (!parsed || !parsed.value->is_array()) {
        std::cerr << file << ": expected a list of streams; " << parsed.reason << "\n";
        return std::nullopt;
    }
    std::vector<load_stream> streams;
    for (const auto& item : parsed.value->get_array()) {
        load_stream stream;
        const auto faults = readFields(streamFields(), item, stream);
        if (!faults.empty()) {
            std::cerr << describeFaults(file, faults);
            return std::nullopt;
        }
        streams.push_back(std::move(stream));
    }
    return streams;
}

static void printTable(const load_plan& plan, const std::vector<load_result>& results)
{
    std::cout << std::left << std::setw(14) << "SERVICE" << std::setw(7) << "METHOD" << std::right << std::setw(9)
              << "REQUESTS" << std::setw(8) << "WHOLE" << std::setw(7) << "WRONG" << std::setw(9) << "REFUSED"
              << std::setw(11) << "UNCERTAIN" << std::setw(6) << "LOST" << std::setw(9) << "P50_MS" << std::setw(9)
              << "P99_MS"
              << "\n";
    for (std::size_t i = 0; i < results.size(); ++i) {
        const auto& result = results[i];
        std::cout << std::left << std::setw(14) << plan.streams[i].service << std::setw(7) << plan.streams[i].method
                  << std::right << std::setw(9) << result.requests << std::setw(8) << result.whole << std::setw(7)
                  << result.wrong << std::setw(9) << result.refused << std::setw(11) << result.uncertain
                  << std::setw(6) << result.lost << std::fixed << std::setprecision(1) << std::setw(9)
                  << latencyQuantile(result.latency, 0.5) << std::setw(9) << latencyQuantile(result.latency, 0.99)
                  << "\n";
        for (const auto& [reason, count] : result.reasons)
            std::cout << "    " << count << " x " << reason << "\n";
    }
}

static int runPlan(const load_plan& plan, const std::string& output)
{
    asio::io_context context(1);
    const auto results = runLoad(context, plan);
    bool failed = false;
    json::array rows;
    for (std::size_t i = 0; i < results.size(); ++i) {
        failed = failed || results[i].wrong > 0 || results[i].lost > 0;
        rows.push_back(describeResult(plan.streams[i], results[i]));
    }
    if (output == "json")
        std::cout << json::serialize(rows) << "\n";
    else
        printTable(plan, results);
    return failed ? ExitFailed : ExitDone;
}

} // namespace lhub

int main(int argc, char** argv)
{
    CLI::App app("load of callers; exits 1 when an answer was wrong or lost");
    lhub::load_plan plan;
    std::string file;
    std::string output = "table";
    std::int64_t duration = 10;
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("--streams", file, "list of streams, JSON with comments")->required();
    app.add_option("--entry", plan.entries, "entry VMs for look-ups, IP:port")->required();
    app.add_option("--duration", duration, "seconds during which requests are sent");
    app.add_option("--seed", plan.seed, "seed of the arrivals");
    app.add_option("--output", output, "table or json")->check(CLI::IsMember({ "table", "json" }));
    CLI11_PARSE(app, argc, argv);
    auto streams = lhub::readStreams(file);
    if (!streams)
        return lhub::ExitBadSettings;
    plan.streams = std::move(*streams);
    plan.duration = lhub::seconds(duration);
    return lhub::runPlan(plan, output);
}
