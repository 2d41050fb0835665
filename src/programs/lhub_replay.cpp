/** @file lhub_replay.cpp The program lhub-replay: replays traces and checks the outcomes in their headers. */
#include "programs/program.h"
#include "replay/trace_func.h"

namespace lhub {

/** Replays one file. Returns false if an outcome is broken or the trace is malformed or has no events or no outcomes. */
static bool replayFile(const std::string& file)
{
    std::ifstream input(file);
    const auto recorded = readTrace(input);
    if (!recorded) {
        std::cout << file << ": " << recorded.reason << "\n";
        return false;
    }
    const auto events = recorded->entry.size() + recorded->agent.size();
    std::cout << file << ": " << recorded->header.about << " (" << events << " events)\n";
    bool held = !recorded->header.outcomes.empty() && events > 0;
    for (const auto& result : replayTrace(*recorded)) {
        std::cout << "  " << (result.held ? "held    " : "BROKEN  ") << result.name;
        if (!result.reason.empty())
            std::cout << ": " << result.reason;
        if (result.brokenAtLine > 0)
            std::cout << ", line " << result.brokenAtLine;
        std::cout << "\n";
        held = held && result.held;
    }
    return held;
}

} // namespace lhub

int main(int argc, char** argv)
{
    CLI::App app("replays traces through the reducers; exits 1 when a stated outcome is broken");
    std::vector<std::string> files;
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("traces", files, "traces, JSON lines")->required();
    CLI11_PARSE(app, argc, argv);
    bool held = true;
    for (const auto& file : files)
        held = lhub::replayFile(file) && held;
    return held ? lhub::ExitDone : lhub::ExitFailed;
}
