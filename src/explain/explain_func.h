/** @file explain_func.h Explains to people how requests of a client are steered. */
#pragma once

#include "client_lookup/client_lookup_type.h"
#include "entry/entry_type.h"

namespace lhub {

/**
 * Explains how a request would be steered, to readers who do not know the system.
 * @param state state of this VM; it knows the pools of its own zone only.
 * @param lookup result of the look-up for the client.
 * @param client address of the client, as text.
 * @param service name of the service that the request is for.
 * @return English sentences, in the order to read them.
 */
std::vector<std::string> explainRequest(
    const entry_state& state, const client_lookup_result& lookup, const std::string& client, const std::string& service);

} // namespace lhub
