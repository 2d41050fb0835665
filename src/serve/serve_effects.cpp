/** @file serve_effects.cpp Events into the reducer, effects out of it. */
#include "serve/serve_func.h"

namespace lhub {

asio::awaitable<void> pauseFor(milliseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    co_await timer.async_wait(asio::use_awaitable);
}

static std::shared_ptr<gate_exchange> exchangeOf(gate_shell& shell, std::uint64_t id)
{
    const auto found = shell.exchanges.find(id);
    return found == shell.exchanges.end() ? nullptr : found->second;
}

static void carryOut(gate_shell& shell, const send_attempt& effect)
{
    const auto exchange = exchangeOf(shell, effect.request);
    if (!exchange) {
        attempt_seen ended;
        ended.request = effect.request;
        ended.attempt = effect.attempt;
        ended.outcome = dispatch_outcome::ConnectFailed;
        shell.inbox.emplace_back(ended);
        return;
    }
    ++shell.counters.attempts;
    auto attempt = std::make_shared<gate_attempt>();
    attempt->command = effect;
    attempt->exchange = exchange;
    exchange->attempts[effect.attempt] = attempt;
    asio::co_spawn(shell.context, runAttempt(shell, std::move(attempt)), asio::detached);
}

static void resolve(gate_exchange& exchange)
{
    if (exchange.timer)
        exchange.timer->cancel();
    if (const auto caller = exchange.caller.lock())
        wakeCaller(*caller);
}

static void carryOut(gate_shell& shell, const relay_answer& effect)
{
    const auto exchange = exchangeOf(shell, effect.request);
    if (!exchange)
        return;
    exchange->relayed = exchange->attempts[effect.attempt];
    resolve(*exchange);
}

static void carryOut(gate_shell& shell, const answer_request& effect)
{
    const auto exchange = exchangeOf(shell, effect.request);
    if (!exchange)
        return;
    ++(effect.status == 503 ? shell.counters.refused : shell.counters.failed);
    exchange->own = effect;
    resolve(*exchange);
}

static void carryOut(gate_shell& shell, const cancel_attempt& effect)
{
    const auto exchange = exchangeOf(shell, effect.request);
    if (!exchange)
        return;
    const auto found = exchange->attempts.find(effect.attempt);
    if (found != exchange->attempts.end())
        cancelAttempt(*found->second);
}

static void carryOut(gate_shell& shell, const drop_connections& effect) { dropIdle(shell, effect.address); }

static void carryOut(gate_shell& shell, const wake_request& effect)
{
    const auto exchange = exchangeOf(shell, effect.request);
    if (!exchange || exchange->resolved())
        return;
    if (!exchange->timer)
        exchange->timer = std::make_unique<asio::steady_timer>(shell.context);
    exchange->timer->expires_at(effect.at);
    exchange->timer->async_wait([&shell, id = effect.request](const error_code& error) {
        if (!error)
            feedGate(shell, request_woken { id });
    });
}

static void carryOut(gate_shell& shell, const log_line& effect) { writeLine(effect.event, effect.fields, shell.clock.now()); }

void feedGate(gate_shell& shell, gate_event event)
{
    shell.inbox.push_back(std::move(event));
    if (shell.draining)
        return;
    shell.draining = true;
    gate_effects effects;
    while (!shell.inbox.empty()) {
        const auto next = std::move(shell.inbox.front());
        shell.inbox.pop_front();
        effects.clear();
        reduceGate(shell.state, shell.clock.now(), next, effects);
        for (const auto& effect : effects)
            std::visit([&](const auto& one) { carryOut(shell, one); }, effect);
    }
    shell.draining = false;
}

gate_identity identityOf(const gate_settings& settings)
{
    gate_identity self;
    self.vm = settings.vm;
    self.ip = settings.ip;
    self.zone = settings.zone;
    self.region = settings.region;
    self.regionOfZone = settings.regionOfZone;
    self.size = { settings.cores, settings.linkMbps };
    self.retries = { settings.bounds.retryRatio, settings.bounds.retrySlack, settings.bounds.retryWindow };
    self.coldOverage = settings.bounds.coldOverage;
    self.coldSlack = settings.bounds.coldSlack;
    return self;
}

} // namespace lhub
