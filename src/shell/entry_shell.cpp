/** @file entry_shell.cpp Event loop of lhub-entry: applies events and executes their effects; fetches configuration. */
#include "shell/entry_shell.h"

#include "client_lookup/client_lookup_func.h"
#include "member/member_func.h"
#include "replay/trace_func.h"
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

namespace lhub {

constexpr milliseconds TickInterval { 20 };
constexpr milliseconds FetchWait { 500 }; // longest wait of the agent for a change
constexpr milliseconds FetchTimeout { 3000 };
constexpr milliseconds FetchRetryDelay { 100 };

/** Sends a command to the coroutine that serves a request; ignored when the request has ended. */
static void sendCommand(entry_shell& shell, std::uint64_t id, exchange_command command)
{
    const auto found = shell.exchanges.find(id);
    if (found != shell.exchanges.end())
        found->second->try_send(boost::system::error_code(), std::move(command));
}

/** Replies to a pending call of a peer. */
static void replyToCall(entry_shell& shell, std::uint64_t callId, const entry_effect& effect)
{
    if (const auto sendReply = takePendingCall(shell.pendingCalls, callId))
        sendReply(effect);
}

namespace {

    /** Executes an effect by its type; types without an overload here are calls to peers or to the agent. */
    struct effect_visitor {
        entry_shell& shell; ///< State of the process.
        const entry_effect& effect; ///< The effect that is executed.

        void operator()(const dispatch& typed) const { sendCommand(shell, typed.id, typed); }
        void operator()(const answer_caller& typed) const { sendCommand(shell, typed.id, typed); }
        void operator()(const reply_acquire& typed) const { replyToCall(shell, typed.answer.callId, effect); }
        void operator()(const reply_take_over& typed) const { replyToCall(shell, typed.callId, effect); }
        void operator()(const reply_held& typed) const { replyToCall(shell, typed.callId, effect); }
        void operator()(const reply_key_claim& typed) const { replyToCall(shell, typed.callId, effect); }
        void operator()(const reply_lend& typed) const { replyToCall(shell, typed.callId, effect); }
        void operator()(const reply_credit& typed) const { replyToCall(shell, typed.callId, effect); }
        void operator()(const send_probe& typed) const { probeEndpoint(shell, typed); }
        void operator()(const log_change& typed) const { LOG(INFO) << "vm=" << shell.state.vm << " " << typed.text; }
        void operator()(const stop_done&) const { shell.onStopped(); }
        template <typename T>
        void operator()(const T&) const { callPeer(shell, effect); }
    };

} // namespace

/** Makes the look-up index anew when the configuration has changed; the first time onReady is called. */
static void updateLookupIndex(entry_shell& shell)
{
    if (shell.indexRevision == shell.state.config.revision)
        return;
    const bool first = shell.indexRevision == 0;
    shell.indexRevision = shell.state.config.revision;
    shell.lookupIndex = makeClientLookupIndex(shell.state.view);
    if (first && shell.onReady)
        shell.onReady();
}

void feedEvent(entry_shell& shell, entry_event event)
{
    shell.queuedEvents.push_back(std::move(event));
    if (shell.processing)
        return;
    shell.processing = true;
    while (!shell.queuedEvents.empty()) {
        const timed_event timed { shell.clock.now(), std::move(shell.queuedEvents.front()) };
        shell.queuedEvents.pop_front();
        if (shell.traceOutput)
            writeEvent(*shell.traceOutput, timed);
        entry_effects effects;
        reduce(shell.state, timed, effects);
        for (const auto& effect : effects)
            std::visit(effect_visitor { shell, effect }, effect);
    }
    updateLookupIndex(shell);
    shell.processing = false;
}

void postEvent(entry_shell& shell, entry_event event)
{
    asio::post(shell.context,
        [&shell, event = std::move(event)]() mutable { feedEvent(shell, std::move(event)); });
}

static asio::awaitable<void> runTicks(entry_shell& shell)
{
    asio::steady_timer timer(shell.context);
    while (!shell.state.stopped) {
        timer.expires_after(TickInterval);
        co_await timer.async_wait(asio::use_awaitable);
        feedEvent(shell, tick {});
    }
}

static void fetchConfig(entry_shell& shell);

/** Fetches again after a delay, because the agent did not reply. */
static asio::awaitable<void> retryFetch(entry_shell& shell)
{
    asio::steady_timer timer(shell.context, FetchRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
    fetchConfig(shell);
}

static void onConfigFetched(
    entry_shell& shell, const grpc::Status& status, const rpc::FetchReply& reply, time_point askedAt)
{
    if (!status.ok()) {
        asio::co_spawn(shell.context, retryFetch(shell), asio::detached);
        return;
    }
    config_arrived event { reply.revision(), {}, milliseconds(reply.age_ms()), askedAt };
    for (const auto& object : reply.objects())
        event.objects.push_back({ object.key(), { object.version(), object.deleted(), object.value() } });
    feedEvent(shell, std::move(event));
    fetchConfig(shell);
}

/** Fetches changes of the configuration from the agent. When the fetch ends, the next one is started. */
static void fetchConfig(entry_shell& shell)
{
    auto stub = std::make_shared<rpc::Agent::Stub>(channelTo(shell.channels, shell.settings.agent));
    rpc::FetchRequest request;
    request.set_since(shell.state.config.revision);
    request.set_wait_ms(static_cast<std::uint32_t>(FetchWait.count()));
    request.set_from_entry(true);
    request.set_entry_leaving(shell.state.stopRequestedAt != time_point {});
    for (const auto& vm : peersToDeregister(shell.state.members))
        request.add_gone(vm);
    const auto askedAt = shell.clock.now();
    callRpc<rpc::FetchRequest, rpc::FetchReply>(
        shell.context.get_executor(), std::move(request), FetchTimeout,
        [stub](auto* context, auto* message, auto* reply, auto done) {
            stub->async()->Fetch(context, message, reply, std::move(done));
        },
        [&shell, stub, askedAt](const grpc::Status& status, const rpc::FetchReply& reply) {
            onConfigFetched(shell, status, reply, askedAt);
        });
}

void startEntry(entry_shell& shell)
{
    asio::co_spawn(shell.context, runTicks(shell), asio::detached);
    fetchConfig(shell);
}

} // namespace lhub
