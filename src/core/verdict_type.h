/** @file verdict_type.h Whether a request may have been executed by an endpoint. */
#pragma once

#include "core/name_table.h"

namespace lhub {

/** What is known about the execution of a request. Every response carries it, on every hop between entry VMs. */
enum class verdict {
    NotRun, ///< It is certain that no endpoint began to execute the request.
    MayHaveRun, ///< Not known: the request was sent, and no complete response arrived.
    Ran, ///< An endpoint executed and answered the request.
};

/** Names of verdicts in the header Lhub-Verdict. */
inline constexpr std::array<name_row<verdict>, 3> VerdictNames { {
    { verdict::NotRun, "not_run" },
    { verdict::MayHaveRun, "may_have_run" },
    { verdict::Ran, "ran" },
} };

/** How one dispatch to an endpoint or to another entry VM ended. */
enum class dispatch_outcome {
    Whole, ///< The complete response was relayed.
    ConnectFailed, ///< The connection could not be established; nothing was sent.
    Shed, ///< The endpoint refused to execute the request, or the other entry VM returned the verdict `not_run`.
    NoResponse, ///< At least a part of the request was sent, and no valid response header arrived: reset, end of stream, malformed response.
    TimedOut, ///< The request was sent, and the deadline passed before a response arrived.
    Truncated, ///< The response began and ended before it was complete.
    CallerGone, ///< The dispatch was cancelled because the caller closed its connection.
};

/** Names of dispatch outcomes in logs, metrics and traces. */
inline constexpr std::array<name_row<dispatch_outcome>, 7> DispatchOutcomeNames { {
    { dispatch_outcome::Whole, "whole" },
    { dispatch_outcome::ConnectFailed, "connect_failed" },
    { dispatch_outcome::Shed, "shed" },
    { dispatch_outcome::NoResponse, "lost" },
    { dispatch_outcome::TimedOut, "timed_out" },
    { dispatch_outcome::Truncated, "cut" },
    { dispatch_outcome::CallerGone, "caller_gone" },
} };

/** Verdict of a single dispatch. Thread safe. */
constexpr verdict verdictOf(dispatch_outcome outcome)
{
    switch (outcome) {
    case dispatch_outcome::ConnectFailed:
    case dispatch_outcome::Shed:
        return verdict::NotRun;
    case dispatch_outcome::Whole:
        return verdict::Ran;
    default:
        return verdict::MayHaveRun;
    }
}

/** Combines the verdicts of two dispatches of one request: Ran takes precedence over MayHaveRun, and that over NotRun. Thread safe. */
constexpr verdict combineVerdicts(verdict a, verdict b) { return static_cast<int>(a) > static_cast<int>(b) ? a : b; }

} // namespace lhub
