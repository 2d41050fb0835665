/** @file bench_placement.cpp Compares placement and admission of lhub-gate with simpler policies under simulated load. */
#include "bench/bench_func.h"
#include "bench/load_simulation.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace lhub {

namespace {

    /** A load under which the policies are compared. */
    struct load_case {
        const char* name; ///< Printed in the table and plot.
        double load; ///< Factor on the request rate of all zones.
        std::vector<simulated_fault> faults;
    };

    /** A policy under comparison. */
    struct policy_case {
        const char* name; ///< Printed in the table and plot.
        simulation_policy policy;
        admission_settings admission; ///< Admission of lhub-gate; the other policies ignore it.
    };

} // namespace

/** Value of admission_settings::maxWaitRatio that no wait reaches, so that no request is refused because of the queue. */
static constexpr double UnlimitedWaitRatio = 1000;

/** Three regions with the same request rate and different numbers of endpoints, as in the users' deployment. */
static std::vector<simulated_zone> unequalRegions()
{
    return { { "a1", "a", 2, 6, 60, 62 }, { "a2", "a", 2, 6, 60, 62 }, { "b1", "b", 2, 2, 60, 62 }, { "b2", "b", 2, 2, 60, 62 },
        { "c1", "c", 2, 4, 60, 62 }, { "c2", "c", 2, 4, 60, 62 } };
}

/** @param from start in seconds. @param until end in seconds. */
static simulated_fault makeFault(int from, int until, unsigned everyNth, bool removed, double loadFactor, double serviceTimeFactor)
{
    simulated_fault fault;
    fault.from = seconds(from);
    fault.until = seconds(until);
    fault.everyNth = everyNth;
    fault.removed = removed;
    fault.loadFactor = loadFactor;
    fault.serviceTimeFactor = serviceTimeFactor;
    return fault;
}

static std::vector<load_case> makeLoadCases()
{
    return {
        { "usual", 1, {} },
        { "one and a half times", 1.5, {} },
        { "twice", 2, {} },
        { "burst of 1.7 for 5 s", 1, { makeFault(8, 13, 1, false, 1.7, 1) } },
        { "a third gone for 6 s", 1, { makeFault(8, 14, 3, true, 1, 1) } },
        { "a third gone, burst of 1.4", 1, { makeFault(8, 14, 3, true, 1.4, 1) } },
        { "a sixth 5 times slower", 1, { makeFault(6, 14, 6, false, 1, 5) } },
    };
}

static std::vector<policy_case> makePolicyCases()
{
    return {
        { "gate", simulation_policy::Gate, {} },
        { "gate, no bound on queues", simulation_policy::Gate, { UnlimitedWaitRatio } },
        { "gate, the whole objective", simulation_policy::Gate, { 1.0 } },
        { "gate, half of it", simulation_policy::Gate, { 0.5 } },
        { "least in flight", simulation_policy::LeastInFlight, {} },
        { "random", simulation_policy::Random, {} },
    };
}

/** Mean worth in the two worst windows of two seconds; 1 when there are fewer than two windows. */
static double worstWindowsMean(const std::vector<double>& worthBySecond)
{
    std::vector<double> windows;
    for (std::size_t i = 0; i + 1 < worthBySecond.size(); i += 2)
        windows.push_back((worthBySecond[i] + worthBySecond[i + 1]) / 2);
    std::sort(windows.begin(), windows.end());
    return windows.size() < 2 ? 1 : (windows[0] + windows[1]) / 2;
}

/** Writes a line of the plot, one point per second. @param index of the policy, out of @p count; selects the color. */
static void plotLine(std::ostream& out, const std::vector<double>& values, std::size_t index, std::size_t count)
{
    out << "<polyline fill='none' stroke='hsl(" << 360 * index / count << ",80%,40%)' points='";
    for (std::size_t second = 0; second < values.size(); ++second)
        out << 20 + second * 30 << "," << 220 - values[second] * 200 << " ";
    out << "'/>\n";
}

void benchPlacement(std::uint64_t seed, const std::string& svg)
{
    std::ofstream plot;
    if (!svg.empty())
        plot.open(svg);
    const auto loadCases = makeLoadCases();
    plot << "<svg xmlns='http://www.w3.org/2000/svg' width='660' height='" << 260 * loadCases.size() << "'>\n";
    for (std::size_t loadIndex = 0; loadIndex < loadCases.size(); ++loadIndex) {
        std::printf("%s\n  %-28s %8s %8s %8s %8s %8s %8s\n", loadCases[loadIndex].name, "policy", "on time", "late", "refused", "failed", "worth", "worst");
        plot << "<g transform='translate(0," << 260 * loadIndex << ")'><text x='20' y='14'>" << loadCases[loadIndex].name << "</text>\n";
        const auto policyCases = makePolicyCases();
        for (std::size_t i = 0; i < policyCases.size(); ++i) {
            simulation_settings settings;
            settings.zones = unequalRegions();
            settings.load = loadCases[loadIndex].load;
            settings.faults = loadCases[loadIndex].faults;
            settings.policy = policyCases[i].policy;
            settings.admission = policyCases[i].admission;
            settings.seed = static_cast<std::uint32_t>(seed);
            const auto result = simulateLoad(settings);
            const double asked = std::max(1U, result.asked);
            std::printf("  %-28s %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f\n", policyCases[i].name, result.onTime / asked, result.late / asked,
                result.refused / asked, result.failed / asked, (result.onTime + settings.lateWorth * result.late) / asked, worstWindowsMean(result.worthBySecond));
            plotLine(plot, result.worthBySecond, i, policyCases.size());
        }
        plot << "</g>\n";
    }
    plot << "</svg>\n";
}

} // namespace lhub
