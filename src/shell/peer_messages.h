/** @file peer_messages.h The state that entry VMs exchange in heartbeats, for both the client and the server side. */
#pragma once

#include "entry/entry_type.h"

namespace lhub {

/** Writes the state of this VM into a heartbeat or its reply. */
template <typename Message>
void encodeOwnState(const entry_state& state, Message& message)
{
    message.set_vm(state.vm);
    message.set_incarnation(state.members.incarnation);
    message.set_leaving(state.members.leaving);
    for (const auto& [service, pool] : state.pools) {
        if (pool.role != pool_role::Owner)
            continue;
        auto* owned = message.add_owned();
        owned->set_service(service);
        owned->set_epoch(pool.epoch);
    }
}

/** Reads the state of a peer from its heartbeat or its reply. */
template <typename Message>
peer_state decodePeerState(const Message& message)
{
    peer_state peer;
    peer.vm = message.vm();
    peer.incarnation = message.incarnation();
    peer.leaving = message.leaving();
    for (const auto& owned : message.owned())
        peer.owned[owned.service()] = owned.epoch();
    return peer;
}

} // namespace lhub
