/** @file bench_placement.cpp Placement and admission of lhub-gate under played loads, against simpler policies. */
#include "bench/bench_func.h"
#include "bench/load_simulation.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace lhub {

namespace {

    /** A load to play. */
    struct place_load {
        const char* name; ///< For the table.
        double load; ///< Factor on all requests.
        std::vector<play_fault> faults; ///< What goes wrong.
    };

    /** A policy to play. */
    struct place_rival {
        const char* name; ///< For the table.
        play_policy policy; ///< Who decides.
        admission_settings admission; ///< Of the gate.
    };

} // namespace

/** Part of the objective that no queue reaches. */
static constexpr double NoBound = 1000;

/** Three unequal regions with equal callers, as the users' sites have them. */
static std::vector<play_zone> unequalRegions()
{
    return { { "a1", "a", 2, 6, 60, 62 }, { "a2", "a", 2, 6, 60, 62 }, { "b1", "b", 2, 2, 60, 62 }, { "b2", "b", 2, 2, 60, 62 },
        { "c1", "c", 2, 4, 60, 62 }, { "c2", "c", 2, 4, 60, 62 } };
}

static play_fault faultOf(int from, int until, unsigned every, bool gone, double burst, double slow)
{
    play_fault fault;
    fault.from = seconds(from);
    fault.until = seconds(until);
    fault.every = every;
    fault.gone = gone;
    fault.burst = burst;
    fault.slow = slow;
    return fault;
}

static std::vector<place_load> loads()
{
    return {
        { "usual", 1, {} },
        { "one and a half times", 1.5, {} },
        { "twice", 2, {} },
        { "burst of 1.7 for 5 s", 1, { faultOf(8, 13, 1, false, 1.7, 1) } },
        { "a third gone for 6 s", 1, { faultOf(8, 14, 3, true, 1, 1) } },
        { "a third gone, burst of 1.4", 1, { faultOf(8, 14, 3, true, 1.4, 1) } },
        { "a sixth 5 times slower", 1, { faultOf(6, 14, 6, false, 1, 5) } },
    };
}

static std::vector<place_rival> rivals()
{
    return {
        { "gate", play_policy::Gate, {} },
        { "gate, no bound on queues", play_policy::Gate, { NoBound } },
        { "gate, the whole objective", play_policy::Gate, { 1.0 } },
        { "gate, half of it", play_policy::Gate, { 0.5 } },
        { "least in flight", play_policy::LeastInFlight, {} },
        { "random", play_policy::Random, {} },
    };
}

/** Mean of the two worst windows of two seconds. */
static double worstWindows(const std::vector<double>& bySecond)
{
    std::vector<double> windows;
    for (std::size_t i = 0; i + 1 < bySecond.size(); i += 2)
        windows.push_back((bySecond[i] + bySecond[i + 1]) / 2);
    std::sort(windows.begin(), windows.end());
    return windows.size() < 2 ? 1 : (windows[0] + windows[1]) / 2;
}

/** A line of the plot, one point a second. */
static void plotLine(std::ostream& out, const std::vector<double>& values, std::size_t index, std::size_t count)
{
    out << "<polyline fill='none' stroke='hsl(" << 360 * index / count << ",80%,40%)' points='";
    for (std::size_t second = 0; second < values.size(); ++second)
        out << 20 + second * 30 << "," << 220 - values[second] * 200 << " ";
    out << "'/>\n";
}

void benchPlace(std::uint64_t seed, const std::string& svg)
{
    std::ofstream plot;
    if (!svg.empty())
        plot.open(svg);
    const auto all = loads();
    plot << "<svg xmlns='http://www.w3.org/2000/svg' width='660' height='" << 260 * all.size() << "'>\n";
    for (std::size_t at = 0; at < all.size(); ++at) {
        std::printf("%s\n  %-28s %8s %8s %8s %8s %8s %8s\n", all[at].name, "policy", "on time", "late", "refused", "failed", "worth", "worst");
        plot << "<g transform='translate(0," << 260 * at << ")'><text x='20' y='14'>" << all[at].name << "</text>\n";
        const auto tried = rivals();
        for (std::size_t i = 0; i < tried.size(); ++i) {
            simulation_settings settings;
            settings.zones = unequalRegions();
            settings.load = all[at].load;
            settings.faults = all[at].faults;
            settings.policy = tried[i].policy;
            settings.admission = tried[i].admission;
            settings.seed = static_cast<std::uint32_t>(seed);
            const auto result = simulateLoad(settings);
            const double asked = std::max(1U, result.asked);
            std::printf("  %-28s %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f\n", tried[i].name, result.onTime / asked, result.late / asked,
                result.refused / asked, result.failed / asked, (result.onTime + settings.lateWorth * result.late) / asked, worstWindows(result.worthBySecond));
            plotLine(plot, result.worthBySecond, i, tried.size());
        }
        plot << "</g>\n";
    }
    plot << "</svg>\n";
}

} // namespace lhub
