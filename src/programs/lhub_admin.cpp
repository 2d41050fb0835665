/** @file lhub_admin.cpp The program lhub-admin: the administration API. */
#include "net/rpc_func.h"
#include "programs/program.h"
#include "shell/admin_shell.h"
#include "store/http_store.h"
#include <boost/asio/signal_set.hpp>

namespace lhub {

static constexpr milliseconds StoreTimeout { 3000 }; ///< Of one call of the store.

static int runAdmin(const admin_settings& settings)
{
    boost::asio::io_context context(1);
    auto store = makeHttpStore(context.get_executor(), settings.store, StoreTimeout);
    if (!store) {
        LOG(ERROR) << store.reason;
        return ExitFailed;
    }
    admin_shell shell { context, std::move(*store) };
    const auto service = makeAdminService(shell);
    const auto server = startRpcServer(settings.listen, *service);
    if (!server) {
        LOG(ERROR) << "listen at " << settings.listen << ": not possible";
        return ExitFailed;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    const auto work = boost::asio::make_work_guard(context);
    context.run();
    server->Shutdown(std::chrono::system_clock::now());
    return ExitDone;
}

} // namespace lhub

int main(int argc, char** argv)
{
    return lhub::runProgram<lhub::admin_settings>(argc, argv, "laburnumhub administration API",
        lhub::adminSettingsFields(), [](const auto& settings, const auto&) { return lhub::runAdmin(settings); });
}
