/** @file loss_report.h Where requests were late or not served, and why, from the logs of the entry VMs. */
#pragma once

#include "core/outcome.h"
#include "loss/loss_type.h"
#include <istream>
#include <map>
#include <string>

namespace lhub {

/** Requests that ended in one second, of one service in one availability zone. */
struct loss_cell {
    std::array<std::uint64_t, ServiceResultNames.size()> results {}; ///< By service_result.
    std::array<std::uint64_t, LossCauseNames.size()> causes {}; ///< Those that were not on time, by loss_cause.
};

/** Key of a cell. */
struct loss_key {
    std::string service; ///< Empty for requests without a route.
    std::string zone; ///< Availability zone of the entry VM.
    std::int64_t second = 0; ///< Second of the end of the requests, counted from the first line of all logs.
    auto operator<=>(const loss_key&) const = default;
};

/** All requests in a set of logs. Requests of callers that came back after a refusal count once for each try. */
struct loss_report {
    std::map<loss_key, loss_cell> cells;
    std::uint64_t lines = 0; ///< Lines that were used.
    std::int64_t firstMs = -1; ///< Time of the first line, in milliseconds; -1 before one was read.
};

/** Reads a log and adds its requests. Lines that are no log lines of lhub-gate are skipped. Not thread safe. */
void addLog(loss_report& report, std::istream& log);

/** Sum over all cells that @p matches accepts. */
template <typename Match>
loss_cell sumCells(const loss_report& report, Match matches)
{
    loss_cell sum;
    for (const auto& [key, cell] : report.cells) {
        if (!matches(key))
            continue;
        for (std::size_t i = 0; i < sum.results.size(); ++i)
            sum.results[i] += cell.results[i];
        for (std::size_t i = 0; i < sum.causes.size(); ++i)
            sum.causes[i] += cell.causes[i];
    }
    return sum;
}

/** Tables by service, zone, cause and second, for the terminal. Thread safe. */
std::string lossText(const loss_report& report);

/** A line for each service, zone, second, result and cause. Thread safe. */
std::string lossCsv(const loss_report& report);

/** Chart of the requests of each second, stacked by cause of loss. Thread safe. */
std::string lossSvg(const loss_report& report);

} // namespace lhub
