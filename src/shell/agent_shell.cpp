/** @file agent_shell.cpp Event loop of lhub-agent: applies events and executes their effects. */
#include "shell/agent_shell.h"

#include "config/config_func.h"
#include "replay/trace_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace lhub {

namespace asio = boost::asio;

constexpr milliseconds TickInterval { 50 };
constexpr milliseconds FetchTimeoutMargin { 1000 }; // a fetch times out this long after its wait

static void watchStore(agent_shell& shell, const watch_store& effect)
{
    store_request request;
    request.operation = store_operation::Watch;
    request.key = StorePrefix;
    request.since = effect.since;
    request.wait = effect.wait;
    const auto askedAt = shell.clock.now();
    shell.store->call(request, [&shell, askedAt](store_reply reply) {
        stripPrefix(reply.objects);
        processAgentEvent(shell, store_watched { std::move(reply), askedAt });
    });
}

static void fetchPeer(agent_shell& shell, const fetch_peer& effect)
{
    auto stub = std::make_shared<rpc::Agent::Stub>(channelTo(shell.channels, effect.address));
    rpc::FetchRequest request;
    request.set_since(effect.since);
    request.set_wait_ms(static_cast<std::uint32_t>(effect.wait.count()));
    const auto askedAt = shell.clock.now();
    callRpc<rpc::FetchRequest, rpc::FetchReply>(
        shell.context.get_executor(), std::move(request), effect.wait + FetchTimeoutMargin,
        [stub](auto* context, auto* message, auto* reply, auto done) {
            stub->async()->Fetch(context, message, reply, std::move(done));
        },
        [&shell, stub, askedAt, address = effect.address](
            const grpc::Status& status, const rpc::FetchReply& reply) {
            peer_fetched event { address, status.ok(), reply.revision(), {}, milliseconds(reply.age_ms()), askedAt };
            for (const auto& object : reply.objects())
                event.objects.push_back({ object.key(), { object.version(), object.deleted(), object.value() } });
            processAgentEvent(shell, std::move(event));
        });
}

static void replyToFetch(agent_shell& shell, const reply_fetch& effect)
{
    if (const auto sendReply = takePendingCall(shell.pendingFetches, effect.callId))
        sendReply(effect);
}

namespace {

    /** Executes an effect by its type. */
    struct agent_effect_visitor {
        agent_shell& shell; ///< State of the process.

        void operator()(const watch_store& effect) const { watchStore(shell, effect); }
        void operator()(const fetch_peer& effect) const { fetchPeer(shell, effect); }
        void operator()(const reply_fetch& effect) const { replyToFetch(shell, effect); }
        void operator()(const agent_log& effect) const
        {
            LOG(INFO) << "agent=" << shell.state.self.name << " " << effect.text;
        }
        void operator()(const agent_stopped&) const { shell.onStopped(); }
        void operator()(const write_registration& effect) const
        {
            shell.store->call(effect.request,
                [process = &shell](store_reply reply) {
                    processAgentEvent(*process, registration_written { std::move(reply) });
                });
        }
    };

} // namespace

void processAgentEvent(agent_shell& shell, agent_event event)
{
    shell.queuedEvents.push_back(std::move(event));
    if (shell.processing)
        return;
    shell.processing = true;
    while (!shell.queuedEvents.empty()) {
        const timed_agent_event timed { shell.clock.now(), std::move(shell.queuedEvents.front()) };
        shell.queuedEvents.pop_front();
        if (shell.traceOutput)
            writeEvent(*shell.traceOutput, timed);
        agent_effects effects;
        reduceAgent(shell.state, timed.now, timed.event, effects);
        for (const auto& effect : effects)
            std::visit(agent_effect_visitor { shell }, effect);
    }
    shell.processing = false;
}

static asio::awaitable<void> runTicks(agent_shell& shell)
{
    asio::steady_timer timer(shell.context);
    while (!shell.state.stopped) {
        timer.expires_after(TickInterval);
        co_await timer.async_wait(asio::use_awaitable);
        processAgentEvent(shell, agent_tick {});
    }
}

void startAgent(agent_shell& shell) { asio::co_spawn(shell.context, runTicks(shell), asio::detached); }

} // namespace lhub
