/** @file admission_func.h Admission: whether a request is sent to the endpoint that placement chose, or refused at once. */
#pragma once

#include "admission/admission_type.h"

namespace lhub {

/** Decides about one request. Protects callers when endpoints get more requests than they can serve, as in bursts and after
 *  the loss of endpoints. Thread safe. */
admit_decision admitRequest(const admit_query& query, const admission_settings& rules);

} // namespace lhub
