/** @file trace_type.h A recorded run of one reducer with its stated outcomes. */
#pragma once

#include "agent/agent_type.h"
#include "entry/entry_event.h"

namespace lhub {

/** Version of the trace format that this program writes and reads. */
inline constexpr std::uint32_t TraceFormat = 1;

/** Which reducer a trace is for. */
enum class trace_kind {
    Entry, ///< reduce() of an entry VM.
    Agent, ///< reduceAgent() of an agent.
};

/** Names of kinds in a trace's header. */
inline constexpr std::array<name_row<trace_kind>, 2> TraceKindNames { {
    { trace_kind::Entry, "entry" },
    { trace_kind::Agent, "agent" },
} };

/** First line of a trace. */
struct trace_header {
    std::uint32_t format = TraceFormat; ///< Version of the format.
    trace_kind kind = trace_kind::Entry; ///< Which reducer.
    std::string about; ///< What happened, for people.
    std::string vm; ///< The VM it was recorded on.
    std::string zone; ///< Its zone.
    std::uint64_t incarnation = 1; ///< Its start.
    std::uint64_t seed = 0; ///< Of the load, if any.
    std::vector<std::string> seeds; ///< An agent's seeds.
    std::vector<std::string> outcomes; ///< What must hold: names in the table of outcomes, "counter>=N" or "counter==N".
};

/** One event of an agent with its time. */
struct timed_agent_event {
    time_point now {}; ///< When it happened.
    agent_event event; ///< What happened.
};

/** A whole trace. */
struct trace {
    trace_header header; ///< First line.
    std::vector<timed_event> entry; ///< Events of an entry VM.
    std::vector<timed_agent_event> agent; ///< Events of an agent.
};

/** How one stated outcome came out. */
struct outcome_result {
    std::string name; ///< As stated.
    bool held = true; ///< Whether it held.
    std::size_t brokenAt = 0; ///< Line of the event that broke it.
    std::string reason; ///< What was seen there.
};

} // namespace lhub
