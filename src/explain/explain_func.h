/** @file explain_func.h Why a request goes where it goes, in plain sentences. */
#pragma once

#include "entry/entry_type.h"
#include "steer/steer_type.h"

namespace lhub {

/**
 * Explains what would happen to a request, for somebody who has never seen the system.
 * @param state this VM's state; what it says of pools holds for its own zone.
 * @param answer the look-up's answer for the client.
 * @param client the client's address, as given.
 */
std::vector<std::string> explainRequest(
    const entry_state& state, const steer_answer& answer, const std::string& client, const std::string& service);

} // namespace lhub
