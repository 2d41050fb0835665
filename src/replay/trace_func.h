/** @file trace_func.h Writing, reading and replaying traces. */
#pragma once

#include "core/json_fields.h"
#include "replay/trace_type.h"
#include <iosfwd>

namespace lhub {

/** Fields of a header. Thread safe. */
const std::vector<json_field<trace_header>>& traceHeaderFields();

/** Writes the header line. */
void writeHeader(std::ostream& output, const trace_header& header);

/** Writes one event as a line. */
void writeEvent(std::ostream& output, const timed_event& event);
void writeEvent(std::ostream& output, const timed_agent_event& event);

/** Reads a trace. Fails with the number of the first malformed line. */
outcome<trace> readTrace(std::istream& input);

/**
 * Replays a trace and checks the outcomes listed in its header, in their order. An outcome with an unknown name is
 * broken at line 1.
 */
std::vector<outcome_result> replayTrace(const trace& recorded);

} // namespace lhub
