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
    constexpr double ServiceMicros = 20'000;
    constexpr micros ReportAge = 500'000;
    constexpr micros OwnerHop = 600; // one call to the owner within a zone and back
    constexpr micros Deadline = 2'000'000;
    constexpr int Arrivals = 200'000;

    /** A policy under comparison. */
    enum class choice_policy {
        RoundRobin, ///< Each endpoint in turn; it queues there.
        LeastReported, ///< The least load by reports that are up to half a second old.
        TwoReported, ///< The better of two random ones by the same reports.
        TwoExact, ///< The better of two random ones by exact counts.
        Owner, ///< The pool's owner: exact counts and one bounded queue, as in src/pool.
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
        micros arrives = 0; ///< Time.
        micros service = 0; ///< How long it runs.
    };

    /** An endpoint that queues by itself, for the baselines. */
    struct model_endpoint {
        std::priority_queue<micros, std::vector<micros>, std::greater<>> freeAt; ///< When each slot is free.
        std::vector<micros> ends; ///< Ends of requests that are not over.
        int reported = 0; ///< Load at the last report.
    };

    /** What a policy did. */
    struct model_result {
        std::vector<micros> latencies; ///< Of served requests.
        int refused = 0; ///< Not served.
    };

} // namespace

static std::vector<model_request> makeArrivals(double load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(load * Endpoints * Slots / ServiceMicros);
    std::exponential_distribution<double> service(1 / ServiceMicros);
    std::vector<model_request> requests;
    double now = 0;
    for (int i = 0; i < Arrivals; ++i) {
        now += gap(random);
        requests.push_back({ static_cast<micros>(now), static_cast<micros>(service(random)) });
    }
    return requests;
}

static int loadOf(model_endpoint& endpoint, micros now)
{
    std::erase_if(endpoint.ends, [&](micros end) { return end <= now; });
    return static_cast<int>(endpoint.ends.size());
}

static std::size_t choose(choice_policy policy, std::vector<model_endpoint>& endpoints, std::size_t turn,
    std::mt19937_64& random, micros now)
{
    const auto a = random() % endpoints.size();
    const auto b = random() % endpoints.size();
    if (policy == choice_policy::TwoReported)
        return endpoints[a].reported <= endpoints[b].reported ? a : b;
    if (policy == choice_policy::TwoExact)
        return loadOf(endpoints[a], now) <= loadOf(endpoints[b], now) ? a : b;
    if (policy == choice_policy::RoundRobin)
        return turn % endpoints.size();
    const auto least = std::min_element(endpoints.begin(), endpoints.end(),
        [](const auto& x, const auto& y) { return x.reported < y.reported; });
    return static_cast<std::size_t>(least - endpoints.begin());
}

/** Baselines: the endpoint is chosen on arrival and queues by itself. */
static model_result runBaseline(choice_policy policy, const std::vector<model_request>& requests, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<model_endpoint> endpoints(Endpoints);
    for (auto& endpoint : endpoints) {
        for (int slot = 0; slot < Slots; ++slot)
            endpoint.freeAt.push(0);
    }
    model_result result;
    micros nextReport = 0;
    std::size_t turn = 0;
    for (const auto& request : requests) {
        for (; nextReport <= request.arrives; nextReport += ReportAge) {
            for (auto& endpoint : endpoints)
                endpoint.reported = loadOf(endpoint, nextReport);
        }
        auto& endpoint = endpoints[choose(policy, endpoints, turn++, random, request.arrives)];
        const auto starts = std::max(request.arrives, endpoint.freeAt.top());
        if (starts - request.arrives > Deadline) {
            ++result.refused;
            continue;
        }
        endpoint.freeAt.pop();
        endpoint.freeAt.push(starts + request.service);
        endpoint.ends.push_back(starts + request.service);
        result.latencies.push_back(starts + request.service - request.arrives);
    }
    return result;
}

static time_point timeOf(micros at) { return time_point(std::chrono::microseconds(at) + seconds(1000)); }

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

/** The owner: the pool's own code with the cost of the call to it. */
static model_result runOwner(const std::vector<model_request>& requests)
{
    using ending = std::pair<micros, std::uint64_t>;
    std::priority_queue<ending, std::vector<ending>, std::greater<>> endings;
    auto pool = makeModelPool();
    model_result result;
    micros now = 0;
    const auto take = [&](const std::vector<acquire_answer>& answers) {
        for (const auto& answer : answers) {
            if (answer.result != acquire_result::Granted) {
                ++result.refused;
                continue;
            }
            const auto& request = requests[answer.callId];
            const auto ends = now + OwnerHop / 2 + request.service;
            endings.emplace(ends + OwnerHop / 2, answer.reservation);
            result.latencies.push_back(ends - request.arrives);
        }
    };
    const auto endUntil = [&](micros until) {
        while (!endings.empty() && endings.top().first <= until) {
            now = endings.top().first;
            releaseSlot(pool, endings.top().second);
            endings.pop();
            std::vector<acquire_answer> answers;
            serveQueue(pool, timeOf(now), answers);
            take(answers);
        }
    };
    for (std::size_t i = 0; i < requests.size(); ++i) {
        endUntil(requests[i].arrives + OwnerHop / 2);
        now = requests[i].arrives + OwnerHop / 2;
        acquire_request request;
        request.callId = i;
        request.deadline = timeOf(requests[i].arrives + Deadline);
        std::vector<acquire_answer> answers;
        acquireSlot(pool, request, timeOf(now), answers);
        take(answers);
    }
    endUntil(INT64_MAX);
    return result;
}

static double quantile(std::vector<micros>& values, double part)
{
    constexpr double MicrosPerMilli = 1000;
    if (values.empty())
        return 0;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
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
