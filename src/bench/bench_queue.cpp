/** @file bench_queue.cpp A queue model that compares policies of endpoint choice under the same arrivals. */
#include "bench/bench_func.h"

#include "pool/pool_func.h"
#include <algorithm>
#include <cstdio>
#include <queue>
#include <random>

namespace lhub {

namespace {

    using micros = std::int64_t;

    constexpr int Endpoints = 24;
    constexpr int Slots = 3;
    constexpr double ServiceMicros = 20'000; ///< Mean service time; service times are distributed exponentially.
    constexpr micros ReportInterval = 500'000; ///< Between two load reports of an endpoint.
    constexpr micros OwnerRoundTrip = 600; ///< A call to the pool's owner and its answer, within a zone.
    constexpr micros Deadline = 2'000'000; ///< Since the arrival; a request that would wait longer for a slot is refused.
    constexpr int Arrivals = 200'000;

    /** A policy under comparison. */
    enum class choice_policy {
        RoundRobin, ///< Each endpoint in turn, whatever its load.
        LeastReported, ///< The endpoint with the least load by reports that are up to half a second old.
        TwoReported, ///< The less loaded of two random endpoints by the same reports.
        TwoExact, ///< The less loaded of two random endpoints by exact counts.
        Owner, ///< The pool's owner with exact counts and one bounded queue: the code of src/pool.
    };

    constexpr std::array<name_row<choice_policy>, 5> PolicyNames { {
        { choice_policy::RoundRobin, "round robin" },
        { choice_policy::LeastReported, "least reported" },
        { choice_policy::TwoReported, "two, reported" },
        { choice_policy::TwoExact, "two, exact" },
        { choice_policy::Owner, "pool owner" },
    } };

    /** One request of the model. */
    struct model_request {
        micros arrivesAt = 0; ///< Since the start of the model.
        micros serviceTime = 0;
    };

    /** An endpoint with its own queue, for the policies other than Owner. */
    struct model_endpoint {
        std::priority_queue<micros, std::vector<micros>, std::greater<>> slotFreeAt; ///< For each slot, the time from which it is free.
        std::vector<micros> endTimes; ///< End times of queued and running requests.
        int reportedLoad = 0; ///< Requests in flight at the last load report.
    };

    /** Results of one policy. */
    struct model_result {
        std::vector<micros> latencies; ///< Times from arrival to response of the served requests.
        int refused = 0; ///< Requests that were not served.
    };

} // namespace

/** Arrivals with exponential intervals. @param load offered load as a fraction of the capacity of all slots. */
static std::vector<model_request> makeArrivals(double load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(load * Endpoints * Slots / ServiceMicros);
    std::exponential_distribution<double> serviceTime(1 / ServiceMicros);
    std::vector<model_request> requests;
    double now = 0;
    for (int i = 0; i < Arrivals; ++i) {
        now += gap(random);
        requests.push_back({ static_cast<micros>(now), static_cast<micros>(serviceTime(random)) });
    }
    return requests;
}

/** Queued and running requests of an endpoint. */
static int requestsInFlight(model_endpoint& endpoint, micros now)
{
    std::erase_if(endpoint.endTimes, [&](micros end) { return end <= now; });
    return static_cast<int>(endpoint.endTimes.size());
}

/** The endpoint that a policy other than Owner chooses. @param turn number of the request, for RoundRobin. */
static std::size_t chooseBaselineEndpoint(choice_policy policy, std::vector<model_endpoint>& endpoints, std::size_t turn,
    std::mt19937_64& random, micros now)
{
    const auto first = random() % endpoints.size();
    const auto second = random() % endpoints.size();
    if (policy == choice_policy::TwoReported)
        return endpoints[first].reportedLoad <= endpoints[second].reportedLoad ? first : second;
    if (policy == choice_policy::TwoExact)
        return requestsInFlight(endpoints[first], now) <= requestsInFlight(endpoints[second], now) ? first : second;
    if (policy == choice_policy::RoundRobin)
        return turn % endpoints.size();
    const auto least = std::min_element(endpoints.begin(), endpoints.end(),
        [](const auto& x, const auto& y) { return x.reportedLoad < y.reportedLoad; });
    return static_cast<std::size_t>(least - endpoints.begin());
}

/** Runs a policy other than Owner: the endpoint is chosen on arrival, and the request waits in the queue of that endpoint. */
static model_result runBaseline(choice_policy policy, const std::vector<model_request>& requests, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<model_endpoint> endpoints(Endpoints);
    for (auto& endpoint : endpoints) {
        for (int slot = 0; slot < Slots; ++slot)
            endpoint.slotFreeAt.push(0);
    }
    model_result result;
    micros nextReport = 0;
    std::size_t turn = 0;
    for (const auto& request : requests) {
        for (; nextReport <= request.arrivesAt; nextReport += ReportInterval) {
            for (auto& endpoint : endpoints)
                endpoint.reportedLoad = requestsInFlight(endpoint, nextReport);
        }
        auto& endpoint = endpoints[chooseBaselineEndpoint(policy, endpoints, turn++, random, request.arrivesAt)];
        const auto startsAt = std::max(request.arrivesAt, endpoint.slotFreeAt.top());
        if (startsAt - request.arrivesAt > Deadline) {
            ++result.refused;
            continue;
        }
        endpoint.slotFreeAt.pop();
        endpoint.slotFreeAt.push(startsAt + request.serviceTime);
        endpoint.endTimes.push_back(startsAt + request.serviceTime);
        result.latencies.push_back(startsAt + request.serviceTime - request.arrivesAt);
    }
    return result;
}

static time_point toTimePoint(micros at) { return time_point(std::chrono::microseconds(at) + seconds(1000)); }

static pool_state makeModelPool()
{
    pool_state pool;
    pool.role = pool_role::Owner;
    for (int i = 0; i < Endpoints; ++i) {
        auto& endpoint = pool.endpoints["e" + std::to_string(i)];
        endpoint.slots = Slots;
        endpoint.cold = false;
    }
    return pool;
}

/** Runs the code of src/pool, with the delay of the call to the owner added to each request. */
static model_result runOwner(const std::vector<model_request>& requests)
{
    using release_event = std::pair<micros, std::uint64_t>;
    std::priority_queue<release_event, std::vector<release_event>, std::greater<>> releases;
    auto pool = makeModelPool();
    model_result result;
    micros now = 0;
    const auto recordAnswers = [&](const std::vector<acquire_answer>& answers) {
        for (const auto& answer : answers) {
            if (answer.result != acquire_result::Granted) {
                ++result.refused;
                continue;
            }
            const auto& request = requests[answer.callId];
            const auto ends = now + OwnerRoundTrip / 2 + request.serviceTime;
            releases.emplace(ends + OwnerRoundTrip / 2, answer.reservation);
            result.latencies.push_back(ends - request.arrivesAt);
        }
    };
    const auto releaseUntil = [&](micros until) {
        while (!releases.empty() && releases.top().first <= until) {
            now = releases.top().first;
            releaseSlot(pool, releases.top().second);
            releases.pop();
            std::vector<acquire_answer> answers;
            serveQueue(pool, toTimePoint(now), answers);
            recordAnswers(answers);
        }
    };
    for (std::size_t i = 0; i < requests.size(); ++i) {
        releaseUntil(requests[i].arrivesAt + OwnerRoundTrip / 2);
        now = requests[i].arrivesAt + OwnerRoundTrip / 2;
        acquire_request request;
        request.callId = i;
        request.deadline = toTimePoint(requests[i].arrivesAt + Deadline);
        std::vector<acquire_answer> answers;
        acquireSlot(pool, request, toTimePoint(now), answers);
        recordAnswers(answers);
    }
    releaseUntil(INT64_MAX);
    return result;
}

static double quantile(std::vector<micros>& values, double fraction)
{
    constexpr double MicrosPerMilli = 1000;
    if (values.empty())
        return 0;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return static_cast<double>(*at) / MicrosPerMilli;
}

void benchEndpointChoice(std::uint64_t seed)
{
    constexpr std::array<double, 5> Loads { 0.3, 0.6, 0.8, 0.95, 1.2 };
    std::printf("endpoint choice: %d endpoints of %d slots, service exponential %.0f ms, %d arrivals, seed %llu\n",
        Endpoints, Slots, ServiceMicros / 1000, Arrivals, static_cast<unsigned long long>(seed));
    std::printf("%-16s %6s %9s %9s %9s\n", "policy", "load", "p50_ms", "p99_ms", "refused");
    for (const auto load : Loads) {
        const auto requests = makeArrivals(load, seed);
        for (const auto& row : PolicyNames) {
            auto result = row.value == choice_policy::Owner ? runOwner(requests)
                                                            : runBaseline(row.value, requests, seed);
            std::printf("%-16s %5.0f%% %9.1f %9.1f %8.2f%%\n", std::string(row.name).c_str(), load * 100,
                quantile(result.latencies, 0.5), quantile(result.latencies, 0.99),
                100.0 * result.refused / Arrivals);
        }
    }
}

} // namespace lhub
