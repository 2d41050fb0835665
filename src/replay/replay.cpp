/** @file replay.cpp Runs a trace through its reducer and judges the stated outcomes. */
#include "replay/outcomes.h"
#include "replay/trace_func.h"

#include <charconv>

namespace lhub {

namespace {

    /** Names of the counters that an outcome may state. */
    struct counter_name {
        std::string_view name; ///< As in a header.
        std::uint64_t entry_counters::*member; ///< Which counter.
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

    /** One check with its own memory. */
    struct running_check {
        entry_check check = nullptr; ///< Null for a counter, judged at the end.
        replay_memory memory; ///< What it remembers.
    };

} // namespace

/** Judges "counter>=N" or "counter==N" after the last event. */
static void judgeCounter(const entry_counters& counters, outcome_result& result)
{
    const auto sign = result.name.find_first_of(">=");
    const auto name = result.name.substr(0, sign);
    std::uint64_t wanted = 0;
    const bool shaped = sign != std::string::npos && sign + 2 < result.name.size();
    const char* const end = result.name.data() + result.name.size();
    if (shaped && std::from_chars(result.name.data() + sign + 2, end, wanted).ptr == end) {
        for (const auto& row : CounterNames) {
            if (row.name != name)
                continue;
            const auto seen = counters.*row.member;
            result.held = result.name[sign] == '>' ? seen >= wanted : seen == wanted;
            result.reason = name + " is " + std::to_string(seen);
            return;
        }
    }
    result.held = false;
    result.brokenAt = 1;
    result.reason = "no such outcome";
}

static std::vector<outcome_result> replayEntry(const trace& recorded)
{
    std::vector<outcome_result> results;
    std::vector<running_check> checks;
    for (const auto& name : recorded.header.outcomes) {
        results.push_back({ name, true, 0, {} });
        auto& running = checks.emplace_back();
        for (const auto& row : outcomeRows())
            running.check = row.name == name ? row.check : running.check;
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
            results[k].brokenAt = results[k].held ? 0 : i + 2;
        }
    }
    for (std::size_t k = 0; k < checks.size(); ++k) {
        if (!checks[k].check)
            judgeCounter(state.counters, results[k]);
    }
    return results;
}

/** Versions never fall, and what the agent hands out is complete: the two outcomes of an agent. */
static std::vector<outcome_result> replayAgent(const trace& recorded)
{
    outcome_result versions { "versions_never_fall", true, 0, {} };
    outcome_result ready { "ready_at_the_end", true, 0, {} };
    std::map<std::string, std::uint64_t> highest;
    vm_config self { recorded.header.vm, recorded.header.zone, {}, {}, {}, recorded.header.incarnation, false };
    auto state = makeAgent(self, recorded.header.seeds);
    std::uint64_t complete = 0;
    for (std::size_t i = 0; i < recorded.agent.size() && versions.held; ++i) {
        agent_effects effects;
        reduceAgent(state, recorded.agent[i].now, recorded.agent[i].event, effects);
        bool fell = state.complete < complete;
        complete = state.complete;
        for (const auto& [key, object] : state.config.objects) {
            fell = fell || object.version < highest[key];
            highest[key] = object.version;
        }
        if (fell)
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
