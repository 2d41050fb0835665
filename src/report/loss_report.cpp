/** @file loss_report.cpp Where requests were late or not served, and why, from the logs of the entry VMs. */
#include "report/loss_report.h"

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <set>
#include <sstream>

namespace lhub {

/** Colours of the causes in the chart, in the order of LossCauseNames; the first one is for requests on time. */
static constexpr std::array<std::string_view, LossCauseNames.size()> CauseColours { "#9bc59b", "#d95f02", "#e6ab02", "#7570b3", "#a6761d", "#e7298a",
    "#666666", "#b07aa1", "#1f78b4", "#6a3d9a", "#08306b", "#17becf", "#bcbd22", "#bbbbbb", "#8c564b", "#cccc99", "#000000" };

/** Value of a field of a log line, without quotes; empty when the line has none. */
static std::string fieldOf(std::string_view line, std::string_view name)
{
    const auto pattern = " " + std::string(name) + "=";
    const auto found = line.find(pattern);
    if (found == std::string_view::npos)
        return "";
    const auto begin = found + pattern.size();
    if (begin < line.size() && line[begin] == '"') {
        const auto end = line.find('"', begin + 1);
        return std::string(line.substr(begin + 1, end == std::string_view::npos ? end : end - begin - 1));
    }
    return std::string(line.substr(begin, line.find(' ', begin) - begin));
}

/** Milliseconds of the time of day in a line's time stamp, "YYYY-MM-DDTHH:MM:SS.mmm"; nothing when the line has none. */
static std::optional<std::int64_t> timeOf(std::string_view line, std::size_t eventAt)
{
    const auto mark = line.substr(0, eventAt).rfind('T');
    if (mark == std::string_view::npos || mark < 10 || mark + 13 > line.size())
        return std::nullopt;
    const auto number = [&](std::size_t offset, std::size_t length) {
        std::int64_t value = -1;
        std::from_chars(line.data() + mark + offset, line.data() + mark + offset + length, value);
        return value;
    };
    const std::array<std::int64_t, 4> parts { number(1, 2), number(4, 2), number(7, 2), number(10, 3) };
    if (std::any_of(parts.begin(), parts.end(), [](std::int64_t part) { return part < 0; }))
        return std::nullopt;
    std::int64_t day = 0;
    std::from_chars(line.data() + mark - 2, line.data() + mark, day);
    return (((day * 24 + parts[0]) * 60 + parts[1]) * 60 + parts[2]) * 1000 + parts[3];
}

/** Result of the request whose end a line describes; nothing for other lines, and for requests that no route allows. */
static std::optional<service_result> resultOf(std::string_view event, std::string_view line)
{
    if (event == "done")
        return valueOf(ServiceResultNames, std::string_view(fieldOf(line, "result")));
    if (event == "caller_gone")
        return service_result::Failed;
    if (event != "answer")
        return std::nullopt;
    const auto status = fieldOf(line, "status");
    if (status == "404")
        return std::nullopt;
    return status == "503" ? service_result::Refused : service_result::Failed;
}

void addLog(loss_report& report, std::istream& log)
{
    static constexpr std::string_view EventMark = " event=";
    std::string line;
    while (std::getline(log, line)) {
        const auto eventAt = line.find(EventMark);
        const auto at = eventAt == std::string::npos ? std::nullopt : timeOf(line, eventAt);
        if (!at)
            continue;
        report.firstMs = report.firstMs < 0 ? *at : std::min(report.firstMs, *at);
        const auto eventBegin = eventAt + EventMark.size();
        const auto event = std::string_view(line).substr(eventBegin, line.find(' ', eventBegin) - eventBegin);
        const auto result = resultOf(event, line);
        if (!result)
            continue;
        ++report.lines;
        auto& cell = report.cells[{ fieldOf(line, "service"), fieldOf(line, "zone"), *at / 1000 }];
        ++cell.results[static_cast<std::size_t>(*result)];
        if (*result != service_result::OnTime)
            ++cell.causes[static_cast<std::size_t>(valueOf(LossCauseNames, std::string_view(fieldOf(line, "cause"))).value_or(loss_cause::None))];
    }
}

static void writeResults(std::ostream& text, const std::string& name, const loss_cell& cell)
{
    text << std::left << std::setw(18) << name << std::right;
    for (const auto count : cell.results)
        text << std::setw(9) << count;
    // The largest cause, which is what to look at first.
    const auto largest = std::max_element(cell.causes.begin(), cell.causes.end());
    if (*largest > 0)
        text << "  " << LossCauseNames[static_cast<std::size_t>(largest - cell.causes.begin())].name << " " << *largest;
    text << "\n";
}

static void writeResultHeader(std::ostream& text, std::string_view title)
{
    text << "\n"
         << std::left << std::setw(18) << title << std::right;
    for (const auto& row : ServiceResultNames)
        text << std::setw(9) << row.name;
    text << "  largest cause\n";
}

/** One line for each value that @p nameOfKey gives. */
template <typename Name>
static void writeTable(std::ostream& text, const loss_report& report, std::string_view title, Name nameOfKey)
{
    std::set<std::string> names;
    for (const auto& [key, cell] : report.cells)
        names.insert(nameOfKey(key));
    writeResultHeader(text, title);
    for (const auto& name : names)
        writeResults(text, name.empty() ? "(no route)" : name, sumCells(report, [&](const loss_key& key) { return nameOfKey(key) == name; }));
}

std::string lossText(const loss_report& report)
{
    std::ostringstream text;
    const auto all = sumCells(report, [](const loss_key&) { return true; });
    std::uint64_t requests = 0;
    for (const auto count : all.results)
        requests += count;
    text << requests << " requests\n";
    text << "\ncause             requests   share\n"
         << std::fixed << std::setprecision(2);
    for (const auto& row : LossCauseNames) {
        const auto count = all.causes[static_cast<std::size_t>(row.value)];
        if (count > 0)
            text << std::left << std::setw(18) << row.name << std::right << std::setw(8) << count << std::setw(7) << 100.0 * static_cast<double>(count) / static_cast<double>(requests) << "%\n";
    }
    writeTable(text, report, "service", [](const loss_key& key) { return key.service; });
    writeTable(text, report, "zone", [](const loss_key& key) { return key.zone; });
    writeTable(text, report, "second", [&](const loss_key& key) {
        auto number = std::to_string(key.second - report.firstMs / 1000);
        return std::string(number.size() < 5 ? 5 - number.size() : 0, ' ') + number;
    });
    return text.str();
}

std::string lossCsv(const loss_report& report)
{
    std::ostringstream text;
    text << "service,zone,second,on_time,late,refused,failed";
    for (std::size_t i = 1; i < LossCauseNames.size(); ++i)
        text << "," << LossCauseNames[i].name;
    text << "\n";
    for (const auto& [key, cell] : report.cells) {
        text << key.service << "," << key.zone << "," << key.second - report.firstMs / 1000;
        for (const auto count : cell.results)
            text << "," << count;
        for (std::size_t i = 1; i < cell.causes.size(); ++i)
            text << "," << cell.causes[i];
        text << "\n";
    }
    return text.str();
}

std::string lossSvg(const loss_report& report)
{
    constexpr double BarWidth = 12;
    constexpr double Height = 320;
    constexpr double Margin = 50;
    constexpr double LegendWidth = 190;
    std::map<std::int64_t, std::array<std::uint64_t, LossCauseNames.size()>> bySecond; // Index 0: on time.
    std::uint64_t most = 1;
    for (const auto& [key, cell] : report.cells) {
        auto& counts = bySecond[key.second - report.firstMs / 1000];
        counts[0] += cell.results[static_cast<std::size_t>(service_result::OnTime)];
        for (std::size_t i = 1; i < cell.causes.size(); ++i)
            counts[i] += cell.causes[i];
    }
    for (const auto& [second, counts] : bySecond) {
        std::uint64_t sum = 0;
        for (const auto count : counts)
            sum += count;
        most = std::max(most, sum);
    }
    const double seconds = bySecond.empty() ? 1 : static_cast<double>(bySecond.rbegin()->first + 1);
    const double width = Margin + seconds * BarWidth + LegendWidth;
    std::ostringstream text;
    text << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << Height + 2 * Margin << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
         << "<text x=\"" << Margin << "\" y=\"24\" font-size=\"14\">Requests a second by result: on time (light), and the first cause of each loss</text>\n";
    for (const auto& [second, counts] : bySecond) {
        double y = Margin + Height;
        for (std::size_t i = 0; i < counts.size(); ++i) {
            const double size = Height * static_cast<double>(counts[i]) / static_cast<double>(most);
            y -= size;
            if (counts[i] > 0)
                text << "<rect x=\"" << Margin + static_cast<double>(second) * BarWidth << "\" y=\"" << y << "\" width=\"" << BarWidth - 1 << "\" height=\"" << size << "\" fill=\"" << CauseColours[i]
                     << "\"><title>second " << second << ": " << (i == 0 ? "on_time" : LossCauseNames[i].name) << " " << counts[i] << "</title></rect>\n";
        }
        if (second % 5 == 0)
            text << "<text x=\"" << Margin + static_cast<double>(second) * BarWidth << "\" y=\"" << Margin + Height + 18 << "\">" << second << "</text>\n";
    }
    text << "<text x=\"4\" y=\"" << Margin + 8 << "\">" << most << "</text>\n<text x=\"" << Margin << "\" y=\"" << Margin + Height + 38 << "\">seconds</text>\n";
    const double legendX = Margin + seconds * BarWidth + 12;
    for (std::size_t i = 0; i < LossCauseNames.size(); ++i) {
        const double y = Margin + 20 * static_cast<double>(i);
        text << "<rect x=\"" << legendX << "\" y=\"" << y << "\" width=\"12\" height=\"12\" fill=\"" << CauseColours[i] << "\"/><text x=\"" << legendX + 18 << "\" y=\"" << y + 11 << "\">"
             << (i == 0 ? "on_time" : LossCauseNames[i].name) << "</text>\n";
    }
    text << "</svg>\n";
    return text.str();
}

} // namespace lhub
