/** @file admission_type.h Admission: whether a request is sent to the endpoint that placement chose, or refused at once. */
#pragma once

namespace lhub {

/** A request with its expected times at the endpoint that placement chose. */
struct admit_query {
    double waitMs = 0; ///< Expected wait for a slot of the endpoint.
    double expectedMs = 0; ///< Expected time until the response, waitMs included.
    double deadlineLeftMs = 0; ///< Time until the deadline.
    double objectiveLeftMs = 0; ///< Time until the response would be late; 0 when it is late already.
    double objectiveMs = 0; ///< The route's objective: a response within this time of the arrival is on time.
};

/** Settings of admission. */
struct admission_settings {
    /**
     * A request that would be late is refused when its expected wait for a slot exceeds this part of the objective. Under
     * overload a longer queue does not serve more requests, it only makes all of them late.
     */
    double maxWaitRatio = 0.75;
};

/** The decision about a request. */
enum class admit_decision {
    Send, ///< It is sent.
    DeadlineUnreachable, ///< Refused: the response is expected after the deadline.
    QueueTooLong, ///< Refused: it would be late because of the queue, and would delay other requests.
};

} // namespace lhub
