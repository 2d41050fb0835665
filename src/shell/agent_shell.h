/** @file agent_shell.h The shell of lhub-agent: turns input into events and carries out effects. */
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

/** Everything of the process. Used on one thread only. */
struct agent_shell {
    boost::asio::io_context& context; ///< Runs everything.
    const clock_source& clock; ///< Time.
    agent_state state; ///< What the reducer works on.
    std::unique_ptr<store_client> store; ///< The platform's store.
    rpc_channels channels; ///< To other agents.
    std::deque<agent_event> inbox; ///< Events that came up while effects were carried out.
    bool draining = false; ///< The inbox is being worked off.
    std::unordered_map<std::uint64_t, std::function<void(const reply_fetch&)>> calls; ///< Open fetches, by id.
    std::uint64_t lastId = 0; ///< Of calls.
    std::function<void()> onStopped; ///< Runs when the stop is complete.
    std::ostream* record = nullptr; ///< Where the trace goes, if it is recorded.
};

/** Reduces an event now and carries out its effects. On the thread of the context only. */
void feedAgent(agent_shell& shell, agent_event event);

/** Starts ticks. */
void startAgent(agent_shell& shell);

/** The gRPC service towards lhub-entry and other agents (agent_service.cpp). */
std::unique_ptr<rpc::Agent::CallbackService> makeAgentService(agent_shell& shell);

} // namespace lhub
