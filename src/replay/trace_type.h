/** @file trace_type.h The recorded events of one reducer with the outcomes that a replay must show. */
#pragma once

#include "agent/agent_type.h"
#include "entry/entry_event.h"

namespace lhub {

/** Version of the trace format that this program writes and reads. */
inline constexpr std::uint32_t TraceFormat = 1;

/** Reducer that a trace is for. */
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
    std::uint32_t format = TraceFormat; ///< Version of the trace format.
    trace_kind kind = trace_kind::Entry; ///< Reducer that the events are for.
    std::string about; ///< Description of the recorded situation, for people.
    std::string vm; ///< Name of the VM that it was recorded on.
    std::string zone; ///< Zone of that VM.
    std::uint64_t incarnation = 1; ///< Incarnation of the process: differs between two starts.
    std::uint64_t seed = 0; ///< Seed of the random load, for people; 0 if none.
    std::vector<std::string> seeds; ///< Agents that an agent contacts first, IP:port; only in traces of agents.
    std::vector<std::string> outcomes; ///< Names from outcomeRows(), "counter>=N" or "counter==N"; for an agent see replay.cpp.
};

/** One event of an agent with its time. */
struct timed_agent_event {
    time_point now {}; ///< Time at which the reducer got it.
    agent_event event;
};

/** A whole trace. */
struct trace {
    trace_header header;
    std::vector<timed_event> entry; ///< Events of an entry VM; empty in a trace of an agent.
    std::vector<timed_agent_event> agent; ///< Events of an agent; empty in a trace of an entry VM.
};

/** Result of one outcome after a replay. */
struct outcome_result {
    std::string name; ///< As in the header.
    bool held = true;
    std::size_t brokenAtLine = 0; ///< Line of the event that broke it; 0 if it held or a counter broke it.
    std::string reason; ///< Description of the violation, or the value of the counter.
};

} // namespace lhub
