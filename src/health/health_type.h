/** @file health_type.h What a VM believes of an endpoint's health, from its own requests alone. */
#pragma once

#include "core/time_type.h"
#include <cstdint>

namespace lhub {

/** How an attempt speaks for or against the endpoint. */
enum class health_signal {
    Good, ///< A whole answer.
    Refused, ///< It refused before execution: it is full, or sheds.
    Unreachable, ///< No connection.
    Broken, ///< Lost, cut or malformed answer, or an error of its own.
    Overdue, ///< No answer in the time that several times the expected work takes.
};

/** Health of one endpoint as one VM sees it. */
struct endpoint_health {
    double failures = 0; ///< Weighted part of recent attempts that failed, 0 to 1.
    std::uint32_t inRow = 0; ///< Failures since the last good answer.
    std::uint32_t samples = 0; ///< Attempts since the last ejection, saturating.
    std::uint32_t ejections = 0; ///< Ejections in a row; doubles their length.
    time_point ejectedUntil {}; ///< Gets nothing until then.
    bool onTrial = false; ///< Back from an ejection: one attempt at a time until one is good.
    double slowness = 1; ///< Its latency relative to what was expected; 1 is usual.
    time_point slownessAt {}; ///< When slowness was last measured.
};

} // namespace lhub
