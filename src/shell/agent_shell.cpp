/** @file agent_shell.cpp The loop of lhub-agent: event, reduce, effects. */
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

constexpr milliseconds TickEvery { 50 };
constexpr milliseconds FetchMargin { 1000 };

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
        feedAgent(shell, store_watched { std::move(reply), askedAt });
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
        shell.context.get_executor(), std::move(request), effect.wait + FetchMargin,
        [stub](auto* context, auto* asked, auto* reply, auto done) {
            stub->async()->Fetch(context, asked, reply, std::move(done));
        },
        [&shell, stub, askedAt, address = effect.address](
            const grpc::Status& status, const rpc::FetchReply& reply) {
            peer_fetched event { address, status.ok(), reply.revision(), {}, milliseconds(reply.age_ms()), askedAt };
            for (const auto& object : reply.objects())
                event.objects.push_back({ object.key(), { object.version(), object.deleted(), object.value() } });
            feedAgent(shell, std::move(event));
        });
}

static void answerFetch(agent_shell& shell, const reply_fetch& effect)
{
    if (const auto answer = takePendingCall(shell.calls, effect.callId))
        answer(effect);
}

namespace {

    /** Carries out effects by their kind. */
    struct agent_effect_visitor {
        agent_shell& shell; ///< The process.

        void operator()(const watch_store& effect) const { watchStore(shell, effect); }
        void operator()(const fetch_peer& effect) const { fetchPeer(shell, effect); }
        void operator()(const reply_fetch& effect) const { answerFetch(shell, effect); }
        void operator()(const agent_log& effect) const
        {
            LOG(INFO) << "agent=" << shell.state.self.name << " " << effect.text;
        }
        void operator()(const agent_stopped&) const { shell.onStopped(); }
        void operator()(const write_registration& effect) const
        {
            shell.store->call(effect.request,
                [owner = &shell](store_reply reply) {
                    feedAgent(*owner, registration_written { std::move(reply) });
                });
        }
    };

} // namespace

void feedAgent(agent_shell& shell, agent_event event)
{
    shell.inbox.push_back(std::move(event));
    if (shell.draining)
        return;
    shell.draining = true;
    while (!shell.inbox.empty()) {
        const timed_agent_event timed { shell.clock.now(), std::move(shell.inbox.front()) };
        shell.inbox.pop_front();
        if (shell.record)
            writeEvent(*shell.record, timed);
        agent_effects effects;
        reduceAgent(shell.state, timed.now, timed.event, effects);
        for (const auto& effect : effects)
            std::visit(agent_effect_visitor { shell }, effect);
    }
    shell.draining = false;
}

static asio::awaitable<void> runTicks(agent_shell& shell)
{
    asio::steady_timer timer(shell.context);
    while (!shell.state.stopped) {
        timer.expires_after(TickEvery);
        co_await timer.async_wait(asio::use_awaitable);
        feedAgent(shell, agent_tick {});
    }
}

void startAgent(agent_shell& shell) { asio::co_spawn(shell.context, runTicks(shell), asio::detached); }

} // namespace lhub
