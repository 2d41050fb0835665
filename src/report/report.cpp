/** @file report.cpp Reads the status of all entry VMs and evaluates it. */
#include "report/report_func.h"

#include "net/http_func.h"
#include <algorithm>
#include <boost/asio/experimental/channel.hpp>
#include <iomanip>
#include <sstream>

namespace lhub {

constexpr milliseconds StatusTimeout { 1000 }; ///< For the status request to one VM.

/** Requests the status of one VM and sends to @p done when it has answered or failed. */
static asio::awaitable<void> sampleVm(vm_sample& sample, asio::experimental::channel<void(boost::system::error_code)>& done)
{
    const auto endpoint = parseAddress(sample.address);
    if (endpoint) {
        const auto reply = co_await httpCall(*endpoint, http_request(http::verb::get, "/v1/status", 11), StatusTimeout);
        if (reply.result == http_result::ResponseReceived) {
            const auto parsed = parseJson(reply.response.body());
            sample.reached = parsed.value.has_value();
            sample.status = sample.reached ? *parsed : json::value();
        }
    }
    done.try_send(boost::system::error_code());
}

asio::awaitable<fleet_sample> sampleFleet(const std::vector<std::string>& addresses, const clock_source& clock)
{
    const auto executor = co_await asio::this_coro::executor;
    fleet_sample sample;
    sample.sampledAt = clock.now();
    for (const auto& address : addresses)
        sample.vms.push_back({ address, false, {} });
    asio::experimental::channel<void(boost::system::error_code)> done(executor, sample.vms.size());
    for (auto& vm : sample.vms)
        asio::co_spawn(executor, sampleVm(vm, done), asio::detached);
    for (std::size_t i = 0; i < sample.vms.size(); ++i)
        co_await done.async_receive(asio::use_awaitable);
    co_return sample;
}

/** Value in the status at a path with dots; null if absent. */
static const json::value* findStatusValue(const vm_sample& sample, std::string_view path)
{
    const json::value* current = &sample.status;
    while (current && !path.empty()) {
        const auto dot = path.find('.');
        const auto* object = current->if_object();
        current = object ? object->if_contains(path.substr(0, dot)) : nullptr;
        path = dot == std::string_view::npos ? std::string_view() : path.substr(dot + 1);
    }
    return current;
}

std::uint64_t statusNumber(const vm_sample& sample, std::string_view path)
{
    const auto* value = findStatusValue(sample, path);
    boost::system::error_code error;
    const auto number = value ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

double statusReal(const vm_sample& sample, std::string_view path)
{
    const auto* value = findStatusValue(sample, path);
    boost::system::error_code error;
    const auto number = value ? value->to_number<double>(error) : 0;
    return error ? 0 : number;
}

std::uint64_t counterIncrease(const fleet_sample& from, const fleet_sample& to, std::string_view path)
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < to.vms.size() && i < from.vms.size(); ++i) {
        if (!to.vms[i].reached)
            continue;
        const auto before = from.vms[i].reached ? statusNumber(from.vms[i], path) : 0;
        const auto after = statusNumber(to.vms[i], path);
        total += after >= before ? after - before : after;
    }
    return total;
}

std::uint64_t maxCounterIncrease(const fleet_series& series, std::string_view path, milliseconds window)
{
    std::uint64_t highest = 0;
    std::size_t oldest = 0;
    std::vector<std::uint64_t> increases { 0 };
    std::uint64_t windowTotal = 0;
    for (std::size_t i = 1; i < series.samples.size(); ++i) {
        increases.push_back(counterIncrease(series.samples[i - 1], series.samples[i], path));
        windowTotal += increases.back();
        while (elapsed(series.samples[oldest].sampledAt, series.samples[i].sampledAt) > window)
            windowTotal -= increases[++oldest];
        highest = std::max(highest, windowTotal);
    }
    return highest;
}

std::uint64_t commonRevision(const fleet_sample& sample)
{
    std::uint64_t common = UINT64_MAX;
    for (const auto& vm : sample.vms) {
        if (vm.reached)
            common = std::min(common, statusNumber(vm, "revision"));
    }
    return common == UINT64_MAX ? 0 : common;
}

std::string formatFleetStatus(const fleet_sample& sample)
{
    std::ostringstream text;
    text << std::left << std::setw(8) << "VM" << std::setw(12) << "ZONE" << std::right << std::setw(9) << "REVISION"
         << std::setw(10) << "AGE_MS" << std::setw(10) << "REQUESTS" << std::setw(9) << "REFUSED" << std::setw(10)
         << "UNCERTAIN" << std::setw(8) << "RETRIES" << std::setw(7) << "HOPS" << std::setw(7) << "MOVED"
         << "\n";
    for (const auto& vm : sample.vms) {
        if (!vm.reached) {
            text << vm.address << ": no answer\n";
            continue;
        }
        const auto& status = vm.status.as_object();
        text << std::left << std::setw(8) << std::string(status.at("vm").as_string()) << std::setw(12)
             << std::string(status.at("zone").as_string()) << std::right << std::setw(9)
             << statusNumber(vm, "revision") << std::setw(10) << statusNumber(vm, "confirmed_ms_ago") << std::setw(10)
             << statusNumber(vm, "counters.requests") << std::setw(9) << statusNumber(vm, "counters.refused")
             << std::setw(10) << statusNumber(vm, "counters.uncertain") << std::setw(8)
             << statusNumber(vm, "counters.retries") << std::setw(7) << statusNumber(vm, "counters.hops")
             << std::setw(7) << statusNumber(vm, "counters.moved") << "\n";
    }
    return text.str();
}

} // namespace lhub
