/** @file entry_shell.cpp The loop of lhub-entry: event, reduce, effects. */
#include "shell/entry_shell.h"

#include "member/member_func.h"
#include "replay/trace_func.h"
#include "steer/steer_func.h"
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

namespace lhub {

constexpr milliseconds TickEvery { 20 };
constexpr milliseconds FetchWait { 500 };
constexpr milliseconds FetchTimeout { 3000 };
constexpr milliseconds FetchPause { 100 };

/** Hands a command to the session of a request. */
static void tellExchange(entry_shell& shell, std::uint64_t id, exchange_command command)
{
    const auto found = shell.exchanges.find(id);
    if (found != shell.exchanges.end())
        found->second->try_send(boost::system::error_code(), std::move(command));
}

/** Answers an open call of a peer. */
static void answerCall(entry_shell& shell, std::uint64_t callId, const entry_effect& effect)
{
    if (const auto answer = takePendingCall(shell.calls, callId))
        answer(effect);
}

namespace {

    /** Carries out effects by their kind; what is not named here goes to a peer. */
    struct effect_visitor {
        entry_shell& shell; ///< The process.
        const entry_effect& effect; ///< What is carried out.

        void operator()(const dispatch& each) const { tellExchange(shell, each.id, each); }
        void operator()(const answer_caller& each) const { tellExchange(shell, each.id, each); }
        void operator()(const reply_acquire& each) const { answerCall(shell, each.answer.callId, effect); }
        void operator()(const reply_take_over& each) const { answerCall(shell, each.callId, effect); }
        void operator()(const reply_held& each) const { answerCall(shell, each.callId, effect); }
        void operator()(const reply_key_claim& each) const { answerCall(shell, each.callId, effect); }
        void operator()(const reply_lend& each) const { answerCall(shell, each.callId, effect); }
        void operator()(const reply_credit& each) const { answerCall(shell, each.callId, effect); }
        void operator()(const send_probe& each) const { probeEndpoint(shell, each); }
        void operator()(const log_change& each) const { LOG(INFO) << "vm=" << shell.state.vm << " " << each.text; }
        void operator()(const stop_done&) const { shell.onStopped(); }
        template <typename T>
        void operator()(const T&) const { callPeer(shell, effect); }
    };

} // namespace

/** Rebuilds what look-ups use when the configuration has changed. */
static void refreshIndex(entry_shell& shell)
{
    if (shell.indexRevision == shell.state.config.revision)
        return;
    const bool first = shell.indexRevision == 0;
    shell.indexRevision = shell.state.config.revision;
    shell.index = makeSteerIndex(shell.state.view);
    if (first && shell.onReady)
        shell.onReady();
}

void feedEvent(entry_shell& shell, entry_event event)
{
    shell.inbox.push_back(std::move(event));
    if (shell.draining)
        return;
    shell.draining = true;
    while (!shell.inbox.empty()) {
        const timed_event timed { shell.clock.now(), std::move(shell.inbox.front()) };
        shell.inbox.pop_front();
        if (shell.record)
            writeEvent(*shell.record, timed);
        entry_effects effects;
        reduce(shell.state, timed, effects);
        for (const auto& effect : effects)
            std::visit(effect_visitor { shell, effect }, effect);
    }
    refreshIndex(shell);
    shell.draining = false;
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
        timer.expires_after(TickEvery);
        co_await timer.async_wait(asio::use_awaitable);
        feedEvent(shell, tick {});
    }
}

static void fetchConfig(entry_shell& shell);

/** Fetches again after a pause: the agent did not answer. */
static asio::awaitable<void> fetchLater(entry_shell& shell)
{
    asio::steady_timer timer(shell.context, FetchPause);
    co_await timer.async_wait(asio::use_awaitable);
    fetchConfig(shell);
}

static void onFetched(entry_shell& shell, const grpc::Status& status, const rpc::FetchReply& reply, time_point askedAt)
{
    if (!status.ok()) {
        asio::co_spawn(shell.context, fetchLater(shell), asio::detached);
        return;
    }
    config_arrived event { reply.revision(), {}, milliseconds(reply.age_ms()), askedAt };
    for (const auto& object : reply.objects())
        event.objects.push_back({ object.key(), { object.version(), object.deleted(), object.value() } });
    feedEvent(shell, std::move(event));
    fetchConfig(shell);
}

/** Asks the agent for news of the configuration. */
static void fetchConfig(entry_shell& shell)
{
    auto stub = std::make_shared<rpc::Agent::Stub>(channelTo(shell.channels, shell.settings.agent));
    rpc::FetchRequest request;
    request.set_since(shell.state.config.revision);
    request.set_wait_ms(static_cast<std::uint32_t>(FetchWait.count()));
    request.set_from_entry(true);
    request.set_entry_leaving(shell.state.stopAsked != time_point {});
    for (const auto& vm : longGone(shell.state.members))
        request.add_gone(vm);
    const auto askedAt = shell.clock.now();
    callRpc<rpc::FetchRequest, rpc::FetchReply>(
        shell.context.get_executor(), std::move(request), FetchTimeout,
        [stub](auto* context, auto* asked, auto* reply, auto done) {
            stub->async()->Fetch(context, asked, reply, std::move(done));
        },
        [&shell, stub, askedAt](const grpc::Status& status, const rpc::FetchReply& reply) {
            onFetched(shell, status, reply, askedAt);
        });
}

void startEntry(entry_shell& shell)
{
    asio::co_spawn(shell.context, runTicks(shell), asio::detached);
    fetchConfig(shell);
}

} // namespace lhub
