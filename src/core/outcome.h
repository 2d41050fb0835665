/** @file outcome.h A value or the last reason why there is none. */
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace lhub {

/** Result of a factory or parser: a value, or the last reason for its absence. */
template <typename T>
struct outcome {
    std::optional<T> value; ///< Set on success.
    std::string reason; ///< Last reason; empty on success.

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

/** Wraps a value. Thread safe. */
template <typename T>
outcome<T> success(T value)
{
    return { std::move(value), {} };
}

/** An absent value with its reason. Thread safe. */
template <typename T>
outcome<T> failure(std::string reason)
{
    return { std::nullopt, std::move(reason) };
}

} // namespace lhub
