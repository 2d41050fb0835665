/** @file lhub_agent.cpp The program lhub-agent: passes configuration from the store to the entry process, claims idempotency keys in the store and registers the VM. */
#include "programs/program.h"
#include "replay/trace_func.h"
#include "shell/agent_shell.h"
#include "store/http_store.h"
#include <boost/asio/signal_set.hpp>

namespace lhub {

static constexpr milliseconds StoreTimeout { 1500 }; ///< Of one call of the store.

/** Registration of this VM. The incarnation is the time of the start in milliseconds since 1970. */
static vm_config describeVm(const vm_settings& settings)
{
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    const auto incarnation = std::chrono::duration_cast<milliseconds>(started).count();
    return { settings.vm, settings.zone, settings.http, settings.peer, settings.agent,
        static_cast<std::uint64_t>(incarnation), false };
}

static int runAgent(const vm_settings& settings, const std::string& traceFile)
{
    boost::asio::io_context context(1);
    const system_clock_source clock;
    auto store = makeHttpStore(context.get_executor(), settings.store, StoreTimeout);
    if (!store) {
        LOG(ERROR) << store.reason;
        return ExitFailed;
    }
    agent_shell shell { context, clock, makeAgent(describeVm(settings), settings.seeds), std::move(*store), {}, {},
        false, {}, 0, {}, nullptr };
    shell.onStopped = [&] { context.stop(); };
    std::ofstream traceOutput;
    if (!traceFile.empty()) {
        traceOutput.open(traceFile);
        writeHeader(traceOutput,
            { TraceFormat, trace_kind::Agent, "recorded by lhub-agent", settings.vm, settings.zone, 1, 0,
                settings.seeds, { "versions_never_fall", "ready_at_the_end" } });
        shell.traceOutput = &traceOutput;
    }
    const auto service = makeAgentService(shell);
    const auto server = startRpcServer(settings.agent, *service);
    if (!server) {
        LOG(ERROR) << "listen at " << settings.agent << ": not possible";
        return ExitFailed;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error)
            processAgentEvent(shell, agent_stop_asked {});
    });
    startAgent(shell);
    LOG(INFO) << "agent=" << settings.vm << " state=started";
    context.run();
    server->Shutdown(std::chrono::system_clock::now());
    return ExitDone;
}

} // namespace lhub

int main(int argc, char** argv)
{
    return lhub::runProgram<lhub::vm_settings>(argc, argv, "laburnumhub agent: brings the configuration to the entry process of its VM",
        lhub::vmSettingsFields(), [](const auto& settings, const auto& arguments) { return lhub::runAgent(settings, arguments.traceFile); });
}
