/** @file admit_func.h Admission: whether a request is sent to the endpoint that placement chose, or refused at once. */
#pragma once

#include "admit/admit_type.h"

namespace lhub {

/** Decides for one request. Answers bursts and the loss of endpoints, when more is asked than can be served. Thread safe. */
admit_verdict admitRequest(const admit_question& question, const admit_rules& rules);

} // namespace lhub
