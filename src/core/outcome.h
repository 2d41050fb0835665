/** @file outcome.h A value, or the reason why there is none. */
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace lhub {

/** Result of a function that may fail: a value, or the reason for the failure. */
template <typename T>
struct outcome {
    std::optional<T> value; ///< Set on success.
    std::string reason; ///< Reason of the failure, for people; empty on success.

    /** Whether there is a value. Thread safe on a const object. */
    explicit operator bool() const { return value.has_value(); }
    /** The value. Precondition: there is one. */
    T& operator*() { return *value; }
    /** The value. Precondition: there is one. */
    const T& operator*() const { return *value; }
    /** Access to a member of the value. Precondition: there is one. */
    T* operator->() { return &*value; }
    /** Access to a member of the value. Precondition: there is one. */
    const T* operator->() const { return &*value; }
};

/** The outcome of a success. Thread safe. */
template <typename T>
outcome<T> success(T value)
{
    return { std::move(value), {} };
}

/** The outcome of a failure. Thread safe. */
template <typename T>
outcome<T> failure(std::string reason)
{
    return { std::nullopt, std::move(reason) };
}

} // namespace lhub
