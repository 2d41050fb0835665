/** @file replay.cpp Replays a trace through its reducer and checks the outcomes listed in its header. */
#include "replay/outcomes.h"
#include "replay/trace_func.h"

#include <charconv>

namespace lhub {

namespace {

    /** A counter that an outcome can compare. */
    struct counter_name {
        std::string_view name; ///< Name in the header of a trace.
        std::uint64_t entry_counters::*member;
    };

    constexpr std::array<counter_name, 9> CounterNames { {
        { "requests", &entry_counters::requests },
        { "whole", &entry_counters::whole },
        { "refused", &entry_counters::refused },
        { "uncertain", &entry_counters::uncertain },
        { "repeated", &entry_counters::repeated },
        { "hops", &entry_counters::hops },
        { "moved", &entry_counters::moved },
        { "take_overs", &entry_counters::takeOvers },
        { "pauses", &entry_counters::pauses },
    } };

    /** The check of one outcome and what it keeps between events. */
    struct check_state {
        entry_check check = nullptr; ///< Null for a comparison of a counter, which is made after the last event.
        replay_memory memory;
    };

} // namespace

/** Evaluates "counter>=N" or "counter==N" after the last event. */
static void checkCounter(const entry_counters& counters, outcome_result& result)
{
    const auto operatorAt = result.name.find_first_of(">=");
    const auto name = result.name.substr(0, operatorAt);
    std::uint64_t expected = 0;
    const bool wellFormed = operatorAt != std::string::npos && operatorAt + 2 < result.name.size();
    const char* const end = result.name.data() + result.name.size();
    if (wellFormed && std::from_chars(result.name.data() + operatorAt + 2, end, expected).ptr == end) {
        for (const auto& row : CounterNames) {
            if (row.name != name)
                continue;
            const auto actual = counters.*row.member;
            result.held = result.name[operatorAt] == '>' ? actual >= expected : actual == expected;
            result.reason = name + " is " + std::to_string(actual);
            return;
        }
    }
    result.held = false;
    result.brokenAtLine = 1;
    result.reason = "no such outcome";
}

static std::vector<outcome_result> replayEntry(const trace& recorded)
{
    std::vector<outcome_result> results;
    std::vector<check_state> checks;
    for (const auto& name : recorded.header.outcomes) {
        results.push_back({ name, true, 0, {} });
        auto& current = checks.emplace_back();
        for (const auto& row : outcomeRows())
            current.check = row.name == name ? row.check : current.check;
    }
    auto state = makeEntry(recorded.header.vm, recorded.header.zone, recorded.header.incarnation);
    for (std::size_t i = 0; i < recorded.entry.size(); ++i) {
        const auto before = state;
        entry_effects effects;
        reduce(state, recorded.entry[i], effects);
        for (std::size_t k = 0; k < checks.size(); ++k) {
            if (!checks[k].check || !results[k].held)
                continue;
            results[k].reason = checks[k].check({ recorded.entry[i], before, state, effects }, checks[k].memory);
            results[k].held = results[k].reason.empty();
            results[k].brokenAtLine = results[k].held ? 0 : i + 2;
        }
    }
    for (std::size_t k = 0; k < checks.size(); ++k) {
        if (!checks[k].check)
            checkCounter(state.counters, results[k]);
    }
    return results;
}

/** Replays a trace of an agent. It has two outcomes: no version falls, and the agent is ready after the last event. */
static std::vector<outcome_result> replayAgent(const trace& recorded)
{
    outcome_result versions { "versions_never_fall", true, 0, {} };
    outcome_result ready { "ready_at_the_end", true, 0, {} };
    std::map<std::string, std::uint64_t> highestVersions;
    vm_config self { recorded.header.vm, recorded.header.zone, {}, {}, {}, recorded.header.incarnation, false };
    auto state = makeAgent(self, recorded.header.seeds);
    std::uint64_t lastCompleteRevision = 0;
    for (std::size_t i = 0; i < recorded.agent.size() && versions.held; ++i) {
        agent_effects effects;
        reduceAgent(state, recorded.agent[i].now, recorded.agent[i].event, effects);
        bool versionFell = state.completeRevision < lastCompleteRevision;
        lastCompleteRevision = state.completeRevision;
        for (const auto& [key, object] : state.config.objects) {
            versionFell = versionFell || object.version < highestVersions[key];
            highestVersions[key] = object.version;
        }
        if (versionFell)
            versions = { versions.name, false, i + 2, "a version fell" };
    }
    ready.held = state.ready;
    std::vector<outcome_result> results;
    for (const auto& name : recorded.header.outcomes) {
        if (name == versions.name)
            results.push_back(versions);
        else if (name == ready.name)
            results.push_back(ready);
        else
            results.push_back({ name, false, 1, "no such outcome" });
    }
    return results;
}

std::vector<outcome_result> replayTrace(const trace& recorded)
{
    return recorded.header.kind == trace_kind::Entry ? replayEntry(recorded) : replayAgent(recorded);
}

} // namespace lhub
