/** @file agent_shell.h The process lhub-agent around its reducer: turns input into events and executes effects. */
#pragma once

#include "agent/agent_func.h"
#include "net/rpc_func.h"
#include "settings/settings_type.h"
#include "store/store_type.h"
#include <boost/asio/io_context.hpp>
#include <deque>
#include <lhub.grpc.pb.h>
#include <unordered_map>

namespace lhub {

/** State of lhub-agent. Used on the thread of the context only. */
struct agent_shell {
    boost::asio::io_context& context; ///< Event loop.
    const clock_source& clock; ///< Gives the time of events.
    agent_state state; ///< State of the reducer.
    std::unique_ptr<store_client> store; ///< Client of the store.
    rpc_channels channels; ///< To other agents.
    std::deque<agent_event> queuedEvents; ///< Events raised while another one is processed.
    bool processing = false; ///< processAgentEvent() is running.
    std::unordered_map<std::uint64_t, std::function<void(const reply_fetch&)>> pendingFetches; ///< By call id.
    std::uint64_t lastId = 0; ///< The last call id given out.
    std::function<void()> onStopped; ///< Called when the process may exit.
    std::ostream* traceOutput = nullptr; ///< Receives the trace; null when none is recorded.
};

/**
 * Applies an event and executes its effects. Events raised meanwhile are queued and processed before it returns. Call
 * it on the thread of the context only.
 */
void processAgentEvent(agent_shell& shell, agent_event event);

/** Starts to send ticks to the reducer, which makes it watch the store. */
void startAgent(agent_shell& shell);

/** Makes the gRPC service for lhub-entry and other agents (agent_service.cpp). */
std::unique_ptr<rpc::Agent::CallbackService> makeAgentService(agent_shell& shell);

} // namespace lhub
