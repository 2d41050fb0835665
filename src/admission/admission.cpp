/** @file admission.cpp Admission: whether a request is sent to the endpoint that placement chose, or refused at once. */
#include "admission/admission_func.h"

namespace lhub {

admit_decision admitRequest(const admit_query& query, const admission_settings& rules)
{
    if (query.expectedMs > query.deadlineLeftMs)
        return admit_decision::DeadlineUnreachable;
    const bool late = query.expectedMs > query.objectiveLeftMs;
    if (late && query.waitMs > rules.maxWaitRatio * query.objectiveMs)
        return admit_decision::QueueTooLong;
    return admit_decision::Send;
}

} // namespace lhub
