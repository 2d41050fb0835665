/** @file soak_check.cpp Checks the guarantees against what callers and endpoints observed. */
#include "soak/soak_check.h"

#include <algorithm>

namespace lhub::soak {

static unsigned runsOf(const soak_record& record, const std::string& id)
{
    const auto found = record.runs.find(id);
    return found == record.runs.end() ? 0 : found->second;
}

/** Whether the status means that the request has not run. */
static bool meansNotRun(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

/** Requests run as often as their responses say, and responses belong to their requests. */
static void checkExecution(const soak_record& record, std::vector<std::string>& violations)
{
    for (const auto& request : record.requests) {
        const auto runs = runsOf(record, request.id);
        if (!request.repeatable && runs > 1)
            violations.push_back("twice: " + request.id + " ran " + std::to_string(runs) + " times");
        if (!request.repeatable && meansNotRun(request.status) && runs > 0)
            violations.push_back("refused: " + request.id + " got " + std::to_string(request.status) + " and ran");
        if (request.status >= 200 && request.status < 300 && request.configVersion == 0 && runs == 0)
            violations.push_back("unasked: " + request.id + " got " + std::to_string(request.status) + " and never ran");
        if (request.wrong)
            violations.push_back("mixed: " + request.id + " got a response with status 2xx that is not from an endpoint or belongs to another request");
        if (!request.inOrder)
            violations.push_back("order: " + request.id + " was answered out of order");
    }
    std::map<std::string, bool> sent;
    for (const auto& request : record.requests)
        sent[request.id] = true;
    for (const auto& [id, runs] : record.runs) {
        if (sent.count(id) == 0)
            violations.push_back("unasked: " + id + " ran but was not sent by a caller");
    }
}

/** Between two starts of a VM its configuration version never decreases. */
static void checkVersions(const soak_record& record, std::vector<std::string>& violations)
{
    std::map<std::pair<unsigned, unsigned>, std::pair<unsigned, milliseconds>> newest; // By VM and start: highest version, and when its response arrived.
    auto requests = record.requests;
    std::sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) { return a.endedAt < b.endedAt; });
    for (const auto& request : requests) {
        if (request.configVersion == 0 || request.status != 200)
            continue;
        auto& known = newest[{ request.gate, request.gateStart }];
        if (request.configVersion < known.first && request.sentAt > known.second)
            violations.push_back("config: " + request.id + " was served by version " + std::to_string(request.configVersion) + " after " + std::to_string(known.first));
        if (request.configVersion > known.first)
            known = { request.configVersion, request.endedAt };
    }
}

/** In each window, the retries stay within the allowed ratio to the requests plus the slack. Windows overlap: one begins every quarter of their length. */
static void checkRetries(const soak_record& record, const soak_bounds& bounds, std::vector<std::string>& violations)
{
    for (milliseconds from { 0 }; from < record.duration; from += bounds.retryWindow / 4) {
        double requests = 0;
        double retries = 0;
        for (const auto& request : record.requests) {
            if (request.sentAt < from || request.sentAt >= from + bounds.retryWindow)
                continue;
            requests += 1;
            retries += std::max(1U, runsOf(record, request.id)) - 1;
        }
        if (retries > bounds.retryRatio * requests + bounds.retrySlack)
            violations.push_back("budget: " + std::to_string(static_cast<int>(retries)) + " retries for " + std::to_string(static_cast<int>(requests)) + " requests");
    }
}

/** How long before the end of a request its VM got SIGTERM, for messages; empty if it got none. */
static std::string timeSinceStop(const soak_record& record, const request_record& request)
{
    const auto found = record.stops.find({ request.gate, request.gateStart });
    if (found == record.stops.end() || found->second > request.endedAt)
        return "";
    return ", sent " + std::to_string((request.sentAt - found->second).count()) + " ms and cut " + std::to_string((request.endedAt - found->second).count()) + " ms after SIGTERM";
}

/** The habit of the caller of a request, for messages; empty in scenarios without habits. */
static std::string habitText(const request_record& request)
{
    return request.habit == caller_habit::Any ? "" : " (" + std::string(nameOf(HabitNames, request.habit)) + ")";
}

/** While no unplanned step is near, every request that ran gets a response. */
static void checkLostResponses(const soak_record& record, const soak_bounds& bounds, std::vector<std::string>& violations)
{
    for (const auto& request : record.requests) {
        const bool lost = request.status == 0 && !request.wrong && request.endedAt.count() > 0 && runsOf(record, request.id) > 0;
        if (lost && isCalm(record.plan, request.sentAt, request.endedAt, bounds.stabilityTime))
            violations.push_back("lost: " + request.id + habitText(request) + " ran and got no response from VM " + std::to_string(request.gate) + " at " + std::to_string(request.sentAt.count()) + " ms" + timeSinceStop(record, request));
    }
}

/** With planned operations only, a request on an open connection without another one gets a response, whether it ran or not. */
static void checkCrossings(const soak_record& record, std::vector<std::string>& violations)
{
    for (const auto& request : record.requests) {
        if (request.alone && request.status == 0 && request.endedAt.count() > 0 && runsOf(record, request.id) == 0)
            violations.push_back("crossed: " + request.id + habitText(request) + " got no response from VM " + std::to_string(request.gate) + " and did not run" + timeSinceStop(record, request));
    }
}

/** In the last tenth of the traffic there are requests to routes that every configuration version has, and at least a quarter of them are served. */
static void checkRecovery(const soak_record& record, std::vector<std::string>& violations)
{
    double asked = 0;
    double served = 0;
    for (const auto& request : record.requests) {
        if (request.configVersion != 0 || request.sentAt < record.duration * 9 / 10)
            continue;
        asked += 1;
        served += request.status == 200 ? 1 : 0;
    }
    if (asked == 0 || served < asked / 4)
        violations.push_back("recover: " + std::to_string(static_cast<int>(served)) + " of " + std::to_string(static_cast<int>(asked)) + " requests served at the end");
}

std::vector<std::string> checkSoak(const soak_record& record, const soak_bounds& bounds)
{
    std::vector<std::string> violations;
    checkExecution(record, violations);
    checkVersions(record, violations);
    checkRetries(record, bounds, violations);
    checkRecovery(record, violations);
    // A stop cuts nobody off, however slow the machine is: without faults this does not depend on times.
    const bool planned = isPlannedOnly(record.scenario);
    if (planned || bounds.checkTiming)
        checkLostResponses(record, bounds, violations);
    if (planned)
        checkCrossings(record, violations);
    if (bounds.checkTiming) {
        violations.insert(violations.end(), record.lateRequests.begin(), record.lateRequests.end());
    }
    violations.insert(violations.end(), record.processFailures.begin(), record.processFailures.end());
    return violations;
}

} // namespace lhub::soak
