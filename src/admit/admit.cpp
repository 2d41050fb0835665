/** @file admit.cpp Admission: whether a request is sent to the endpoint that placement chose, or refused at once. */
#include "admit/admit_func.h"

namespace lhub {

admit_verdict admitRequest(const admit_question& question, const admit_rules& rules)
{
    if (question.expectedMs > question.leftMs)
        return admit_verdict::Hopeless;
    const bool late = question.expectedMs > question.budgetMs;
    if (late && question.waitMs > rules.mostWait * question.objectiveMs)
        return admit_verdict::Overload;
    return admit_verdict::Send;
}

} // namespace lhub
