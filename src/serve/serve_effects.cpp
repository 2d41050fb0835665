/** @file serve_effects.cpp Passes events to the reducer and executes its effects. */
#include "serve/serve_func.h"

namespace lhub {

asio::awaitable<void> pauseFor(milliseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    co_await timer.async_wait(asio::use_awaitable);
}

/** The exchange with an id; null when it has ended. */
static std::shared_ptr<gate_exchange> findExchange(gate_shell& shell, std::uint64_t id)
{
    const auto found = shell.exchanges.find(id);
    return found == shell.exchanges.end() ? nullptr : found->second;
}

static void execute(gate_shell& shell, const send_attempt& effect)
{
    const auto exchange = findExchange(shell, effect.request);
    if (!exchange) {
        attempt_ended ended; // The reducer waits for the end of every attempt.
        ended.request = effect.request;
        ended.attempt = effect.attempt;
        ended.outcome = dispatch_outcome::ConnectFailed;
        shell.eventQueue.emplace_back(ended);
        return;
    }
    ++shell.counters.attempts;
    auto attempt = std::make_shared<gate_attempt>();
    attempt->command = effect;
    attempt->exchange = exchange;
    exchange->attempts[effect.attempt] = attempt;
    spawn(shell, "attempt", runAttempt(shell, std::move(attempt)));
}

/** Stops the wake timer and lets the writer of the connection send the response that is now decided. */
static void signalResponseDecided(gate_exchange& exchange)
{
    if (exchange.wakeTimer)
        exchange.wakeTimer->cancel();
    if (const auto caller = exchange.caller.lock())
        signalChange(*caller);
}

static void execute(gate_shell& shell, const relay_response& effect)
{
    const auto exchange = findExchange(shell, effect.request);
    if (!exchange)
        return;
    exchange->relayedAttempt = exchange->attempts[effect.attempt];
    signalResponseDecided(*exchange);
}

static void execute(gate_shell& shell, const send_response& effect)
{
    const auto exchange = findExchange(shell, effect.request);
    if (!exchange)
        return;
    ++(effect.status == 503 || effect.status == 429 ? shell.counters.refused : shell.counters.failed);
    exchange->localResponse = effect;
    signalResponseDecided(*exchange);
}

static void execute(gate_shell& shell, const cancel_attempt& effect)
{
    const auto exchange = findExchange(shell, effect.request);
    if (!exchange)
        return;
    const auto found = exchange->attempts.find(effect.attempt);
    if (found != exchange->attempts.end())
        cancelAttempt(*found->second);
}

static void execute(gate_shell& shell, const drop_connections& effect) { closeIdleConnections(shell, effect.address); }

static void execute(gate_shell& shell, const set_request_timer& effect)
{
    const auto exchange = findExchange(shell, effect.request);
    if (!exchange || exchange->hasResponse())
        return;
    if (!exchange->wakeTimer)
        exchange->wakeTimer = std::make_unique<asio::steady_timer>(shell.context);
    exchange->wakeTimer->expires_at(effect.at);
    exchange->wakeTimer->async_wait([&shell, id = effect.request](const error_code& error) {
        if (!error)
            processEvent(shell, request_timer_expired { id });
    });
}

static void execute(gate_shell& shell, const send_datagram& effect) { sendDatagram(shell, effect.ip, effect.text); }

static void execute(gate_shell& shell, const log_line& effect) { logEvent(effect.event, effect.fields, shell.clock.now()); }

/** Passes all queued events to the reducer and executes their effects. */
static void processQueue(gate_shell& shell)
{
    gate_effects effects;
    while (!shell.eventQueue.empty()) {
        const auto next = std::move(shell.eventQueue.front());
        shell.eventQueue.pop_front();
        effects.clear();
        reduceGate(shell.state, shell.clock.now(), next, effects);
        for (const auto& effect : effects)
            std::visit([&](const auto& typed) { execute(shell, typed); }, effect);
    }
}

void processEvent(gate_shell& shell, gate_event event)
{
    shell.eventQueue.push_back(std::move(event));
    if (shell.processingEvents)
        return;
    shell.processingEvents = true;
    try {
        processQueue(shell);
    } catch (...) {
        shell.processingEvents = false; // Otherwise no later event would be processed.
        throw;
    }
    shell.processingEvents = false;
}

void spawn(gate_shell& shell, std::string_view task, asio::awaitable<void> work)
{
    asio::co_spawn(shell.context, std::move(work), [&shell, task = std::string(task)](const std::exception_ptr& error) {
        if (!error)
            return;
        try {
            std::rethrow_exception(error);
        } catch (const std::exception& reason) {
            logEvent("failed", { { "task", task }, { "reason", reason.what() } }, shell.clock.now());
        }
    });
}

gate_parameters identityOf(const gate_settings& settings)
{
    gate_parameters self;
    self.vm = settings.vm;
    self.ip = settings.ip;
    self.zone = settings.zone;
    self.region = settings.region;
    self.regionOfZone = settings.regionOfZone;
    self.capacity = { settings.cores, settings.linkMbps };
    self.retryBounds = { settings.bounds.retryRatio, settings.bounds.retrySlack, settings.bounds.retryWindow };
    self.coldOverage = settings.bounds.coldOverage;
    self.coldSlack = settings.bounds.coldSlack;
    self.recoveryPace = settings.recoveryPace;
    self.quotaWindow = settings.bounds.quotaWindow;
    return self;
}

} // namespace lhub
