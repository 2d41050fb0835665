/** @file admit_type.h Admission: whether a request is sent to the endpoint that placement chose, or refused at once. */
#pragma once

namespace lhub {

/** What admission is told. */
struct admit_question {
    double waitMs = 0; ///< Expected wait for a slot of the endpoint.
    double expectedMs = 0; ///< Until the answer, the wait included.
    double leftMs = 0; ///< Until the deadline.
    double budgetMs = 0; ///< Until the answer would be late; 0 when it is late already.
    double objectiveMs = 0; ///< The whole of that time, as configured.
};

/** Settings of admission. */
struct admit_rules {
    /**
     * A request that would be late is refused when it would wait for longer than this part of the objective. Under an
     * overload a longer queue serves no more requests, it only makes all of them late.
     */
    double mostWait = 0.75;
};

/** Why a request is refused, or not. */
enum class admit_verdict {
    Send, ///< It is sent.
    Hopeless, ///< It cannot be answered before its deadline.
    Overload, ///< It would be late for the queue alone, and make others late.
};

} // namespace lhub
