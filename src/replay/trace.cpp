/** @file trace.cpp Writes and reads the lines of a trace. */
#include "replay/trace_func.h"

#include "replay/codec.h"
#include <boost/core/demangle.hpp>
#include <istream>
#include <limits>
#include <ostream>

namespace lhub {

static bool isAnyText(std::string_view) { return true; }

const std::vector<json_field<trace_header>>& traceHeaderFields()
{
    constexpr std::uint64_t AnyNumber = INT64_MAX;
    static const std::vector<json_field<trace_header>> Table {
        numberField("format", &trace_header::format, TraceFormat, TraceFormat),
        enumField("kind", &trace_header::kind, TraceKindNames),
        textField("about", &trace_header::about),
        nameField("vm", &trace_header::vm),
        nameField("zone", &trace_header::zone),
        numberField("incarnation", &trace_header::incarnation, std::uint64_t(0), AnyNumber),
        numberField("seed", &trace_header::seed, std::uint64_t(0), AnyNumber, false),
        listField("seeds", &trace_header::seeds, isAddress, "a list of addresses"),
        listField("outcomes", &trace_header::outcomes, isAnyText, "a list of outcomes"),
    };
    return Table;
}

void writeHeader(std::ostream& output, const trace_header& header)
{
    output << json::serialize(writeFields(traceHeaderFields(), header)) << "\n";
}

/** Name of the event's C++ type without its namespace, as written into traces. */
template <typename T>
static std::string eventName()
{
    const std::string name = boost::core::demangle(typeid(T).name());
    return name.substr(name.rfind(':') + 1);
}

template <typename Event>
static void writeEventLine(std::ostream& output, time_point now, const Event& event)
{
    std::visit(
        [&](const auto& value) {
            using event_type = std::decay_t<decltype(value)>;
            const json::object line { { "t_us", toMicroseconds(now) }, { "event", eventName<event_type>() },
                { "data", encodeValue(value) } };
            output << json::serialize(line) << "\n";
        },
        event);
}

void writeEvent(std::ostream& output, const timed_event& event) { writeEventLine(output, event.now, event.event); }

void writeEvent(std::ostream& output, const timed_agent_event& event) { writeEventLine(output, event.now, event.event); }

/** Reads one line into @p event; throws on malformed input. */
template <typename... Events>
static void readEvent(const json::object& line, time_point& now, std::variant<Events...>& event)
{
    const std::string name(line.at("event").as_string());
    bool found = false;
    const auto tryDecodeAs = [&](auto identity) {
        using event_type = typename decltype(identity)::type;
        if (found || eventName<event_type>() != name)
            return;
        event_type value {};
        decodeValue(line.at("data"), value);
        event = std::move(value);
        found = true;
    };
    (tryDecodeAs(boost::mp11::mp_identity<Events> {}), ...);
    if (!found)
        throw std::invalid_argument("no such event: " + name);
    decodeValue(line.at("t_us"), now);
}

/** Appends the event of one line to the trace; throws on malformed input. */
static void readLine(const json::value& line, trace& recorded)
{
    const auto& object = line.as_object();
    if (recorded.header.kind == trace_kind::Entry) {
        auto& event = recorded.entry.emplace_back();
        readEvent(object, event.now, event.event);
        return;
    }
    auto& event = recorded.agent.emplace_back();
    readEvent(object, event.now, event.event);
}

outcome<trace> readTrace(std::istream& input)
{
    trace recorded;
    std::string line;
    for (std::size_t number = 1; std::getline(input, line); ++number) {
        const auto linePrefix = "line " + std::to_string(number) + ": ";
        const auto parsed = parseJson(line);
        if (!parsed)
            return failure<trace>(linePrefix + parsed.reason);
        if (number == 1) {
            const auto faults = readFields(traceHeaderFields(), *parsed, recorded.header);
            if (!faults.empty())
                return failure<trace>(
                    linePrefix + faults[0].field + ": " + faults[0].value + ": expected " + faults[0].expected);
            continue;
        }
        try {
            readLine(*parsed, recorded);
        } catch (const std::exception& error) {
            return failure<trace>(linePrefix + error.what());
        }
    }
    if (recorded.header.vm.empty())
        return failure<trace>("line 1: expected a header");
    return success(std::move(recorded));
}

} // namespace lhub
