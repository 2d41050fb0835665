/** @file soak_check.cpp The promises, checked on what callers and endpoints saw. */
#include "soak/soak_check.h"

#include <algorithm>

namespace lhub::soak {

static unsigned runsOf(const soak_record& record, const std::string& id)
{
    const auto found = record.runs.find(id);
    return found == record.runs.end() ? 0 : found->second;
}

/** Statuses that promise that a request has not run. */
static bool promisesNotRun(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

static void checkExecution(const soak_record& record, std::vector<std::string>& broken)
{
    for (const auto& request : record.requests) {
        const auto runs = runsOf(record, request.id);
        if (!request.repeatable && runs > 1)
            broken.push_back("twice: " + request.id + " ran " + std::to_string(runs) + " times");
        if (!request.repeatable && promisesNotRun(request.status) && runs > 0)
            broken.push_back("refused: " + request.id + " got " + std::to_string(request.status) + " and ran");
        if (request.status >= 200 && request.status < 300 && request.version == 0 && runs == 0)
            broken.push_back("unasked: " + request.id + " got " + std::to_string(request.status) + " and never ran");
        if (request.wrong)
            broken.push_back("mixed: " + request.id + " got another answer than its own whole one");
        if (!request.inOrder)
            broken.push_back("order: " + request.id + " was answered out of order");
    }
    std::map<std::string, bool> sent;
    for (const auto& request : record.requests)
        sent[request.id] = true;
    for (const auto& [id, runs] : record.runs) {
        if (sent.count(id) == 0)
            broken.push_back("unasked: " + id + " ran and was never sent");
    }
}

/** Within one start of a VM the configuration in force never goes back. */
static void checkVersions(const soak_record& record, std::vector<std::string>& broken)
{
    std::map<std::pair<unsigned, unsigned>, std::pair<unsigned, milliseconds>> newest; // Version, and when its answer was there.
    auto requests = record.requests;
    std::sort(requests.begin(), requests.end(), [](const auto& a, const auto& b) { return a.endedAt < b.endedAt; });
    for (const auto& request : requests) {
        if (request.version == 0 || request.status != 200)
            continue;
        auto& known = newest[{ request.gate, request.start }];
        if (request.version < known.first && request.sentAt > known.second)
            broken.push_back("config: " + request.id + " was served by version " + std::to_string(request.version) + " after " + std::to_string(known.first));
        if (request.version > known.first)
            known = { request.version, request.endedAt };
    }
}

static void checkRetries(const soak_record& record, const soak_bounds& bounds, std::vector<std::string>& broken)
{
    for (milliseconds from { 0 }; from < record.length; from += bounds.retryWindow / 4) {
        double requests = 0;
        double extra = 0;
        for (const auto& request : record.requests) {
            if (request.sentAt < from || request.sentAt >= from + bounds.retryWindow)
                continue;
            requests += 1;
            extra += std::max(1U, runsOf(record, request.id)) - 1;
        }
        if (extra > bounds.retryRatio * requests + bounds.retrySlack)
            broken.push_back("budget: " + std::to_string(static_cast<int>(extra)) + " retries for " + std::to_string(static_cast<int>(requests)) + " requests");
    }
}

/** In calm times planned work ends no request without an answer. */
static void checkStops(const soak_record& record, const soak_bounds& bounds, std::vector<std::string>& broken)
{
    for (const auto& request : record.requests) {
        const bool lost = request.status == 0 && !request.wrong && request.endedAt.count() > 0 && runsOf(record, request.id) > 0;
        if (lost && isCalm(record.plan, request.sentAt, request.endedAt, bounds.stability))
            broken.push_back("lost: " + request.id + " ran and got no answer from VM " + std::to_string(request.gate) + " at " + std::to_string(request.sentAt.count()) + " ms");
    }
}

/** After the last fault callers are served again. */
static void checkRecovery(const soak_record& record, std::vector<std::string>& broken)
{
    double asked = 0;
    double served = 0;
    for (const auto& request : record.requests) {
        if (request.version != 0 || request.sentAt < record.length * 9 / 10)
            continue;
        asked += 1;
        served += request.status == 200 ? 1 : 0;
    }
    if (asked == 0 || served < asked / 4)
        broken.push_back("recover: " + std::to_string(static_cast<int>(served)) + " of " + std::to_string(static_cast<int>(asked)) + " requests served at the end");
}

std::vector<std::string> checkSoak(const soak_record& record, const soak_bounds& bounds)
{
    std::vector<std::string> broken;
    checkExecution(record, broken);
    checkVersions(record, broken);
    checkRetries(record, bounds, broken);
    checkRecovery(record, broken);
    if (bounds.timed) {
        checkStops(record, bounds, broken);
        broken.insert(broken.end(), record.late.begin(), record.late.end());
    }
    broken.insert(broken.end(), record.ends.begin(), record.ends.end());
    return broken;
}

} // namespace lhub::soak
