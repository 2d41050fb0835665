/** @file encode.h Encoding shared by calls and service of lhub-entry. */
#pragma once

#include "entry/entry_type.h"

namespace lhub {

/** Fills a heartbeat or its answer with what this VM says of itself. */
template <typename Message>
void encodeSelf(const entry_state& state, Message& message)
{
    message.set_vm(state.vm);
    message.set_incarnation(state.members.incarnation);
    message.set_leaving(state.members.leaving);
    for (const auto& [service, pool] : state.pools) {
        if (pool.role != pool_role::Owner)
            continue;
        auto* claim = message.add_owned();
        claim->set_service(service);
        claim->set_epoch(pool.epoch);
    }
}

/** What a peer says of itself, from its heartbeat or its answer. */
template <typename Message>
peer_state decodeSelf(const Message& message)
{
    peer_state said;
    said.vm = message.vm();
    said.incarnation = message.incarnation();
    said.leaving = message.leaving();
    for (const auto& claim : message.owned())
        said.owned[claim.service()] = claim.epoch();
    return said;
}

} // namespace lhub
