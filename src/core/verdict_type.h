/** @file verdict_type.h Whether a request may have run at an endpoint. */
#pragma once

#include "core/name_table.h"

namespace lhub {

/** What is known of a request's execution. Travels with every answer, over every hop. */
enum class verdict {
    NotRun, ///< Proved: no endpoint began to execute the request.
    MayHaveRun, ///< Unknown: it was sent and no whole answer came back.
    Ran, ///< An endpoint answered it.
};

/** Names of verdicts as in the header Lhub-Verdict. */
inline constexpr std::array<name_row<verdict>, 3> VerdictNames { {
    { verdict::NotRun, "not_run" },
    { verdict::MayHaveRun, "may_have_run" },
    { verdict::Ran, "ran" },
} };

/** How one dispatch to an endpoint or to another entry VM ended. */
enum class dispatch_outcome {
    Whole, ///< The whole answer was relayed.
    ConnectFailed, ///< No connection: nothing was written.
    Shed, ///< The endpoint's own refusal before execution, or a hop's `not_run`.
    Lost, ///< Written at least in part, then no answer header: reset, end of stream, malformed answer.
    TimedOut, ///< Written, and the deadline passed before an answer.
    Cut, ///< The answer began and ended short.
    CallerGone, ///< The caller closed its connection; the dispatch was cancelled.
};

/** Names of dispatch outcomes in logs, metrics and traces. */
inline constexpr std::array<name_row<dispatch_outcome>, 7> DispatchOutcomeNames { {
    { dispatch_outcome::Whole, "whole" },
    { dispatch_outcome::ConnectFailed, "connect_failed" },
    { dispatch_outcome::Shed, "shed" },
    { dispatch_outcome::Lost, "lost" },
    { dispatch_outcome::TimedOut, "timed_out" },
    { dispatch_outcome::Cut, "cut" },
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

/** Verdict of a request with several dispatches: the one that says the most may have happened. Thread safe. */
constexpr verdict worse(verdict a, verdict b) { return static_cast<int>(a) > static_cast<int>(b) ? a : b; }

} // namespace lhub
