/** @file lhub_entry.cpp The program lhub-entry: an entry VM that answers look-ups, admits requests and forwards them. */
#include "client_lookup/client_lookup_func.h"
#include "net/http_func.h"
#include "programs/program.h"
#include "replay/trace_func.h"
#include "shell/entry_shell.h"
#include <boost/asio/signal_set.hpp>

namespace lhub {

/** Reads the file of client blocks; an empty table if @p file is empty. */
static outcome<client_table> readClientBlocks(const std::string& file)
{
    if (file.empty())
        return success(client_table {});
    std::ifstream input(file);
    if (!input)
        return failure<client_table>("cannot be read");
    return readClientTable(input);
}

/** Reads the client blocks that the settings name. Prints the fault and returns false on an error. */
static bool loadClientTable(const vm_settings& settings, client_table& clients)
{
    auto table = readClientBlocks(settings.clients);
    if (!table) {
        std::cerr << settings.clients << ": " << table.reason << "\n";
        return false;
    }
    clients = std::move(*table);
    return true;
}

static int runEntry(const vm_settings& settings, client_table clients, const std::string& traceFile)
{
    asio::io_context context(1);
    const system_clock_source clock;
    const auto incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    entry_shell shell { context, clock, settings, makeEntry(settings.vm, settings.zone, incarnation),
        std::move(clients), {}, 0, {}, {}, false, {}, {}, {}, {}, 0, {}, {}, nullptr };
    shell.state.limits.lookupLifetime = seconds(settings.lookupLifetimeSeconds);
    std::ofstream traceOutput;
    if (!traceFile.empty()) {
        traceOutput.open(traceFile);
        writeHeader(traceOutput,
            { TraceFormat, trace_kind::Entry, "recorded by lhub-entry", settings.vm, settings.zone, incarnation, 0, {},
                RecordedEntryOutcomes });
        shell.traceOutput = &traceOutput;
    }
    const auto service = makePeerService(shell);
    const auto server = startRpcServer(settings.peer, *service);
    if (!server) {
        LOG(ERROR) << "listen at " << settings.peer << ": not possible";
        return ExitFailed;
    }
    int code = ExitDone;
    std::optional<tcp::acceptor> acceptor;
    // Without a configuration the port is closed, so that callers go on to their next entry VM.
    shell.onReady = [&] {
        auto listening = listenAt(context.get_executor(), settings.http);
        if (!listening) {
            LOG(ERROR) << listening.reason;
            code = ExitFailed;
            context.stop();
            return;
        }
        acceptor = std::move(*listening);
        asio::co_spawn(context, serveCallers(shell, *acceptor), asio::detached);
    };
    shell.onStopped = [&] { context.stop(); };
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error)
            feedEvent(shell, stop_asked {});
    });
    startEntry(shell);
    LOG(INFO) << "vm=" << settings.vm << " state=started";
    context.run();
    server->Shutdown(std::chrono::system_clock::now());
    return code;
}

} // namespace lhub

int main(int argc, char** argv)
{
    lhub::client_table clients;
    return lhub::runProgram<lhub::vm_settings>(
        argc, argv, "laburnumhub entry VM: answers look-ups and forwards requests",
        lhub::vmSettingsFields(), [&](const auto& settings, const auto& arguments) { return lhub::runEntry(settings, std::move(clients), arguments.traceFile); }, [&](const auto& settings) { return lhub::loadClientTable(settings, clients); });
}
