/** @file name_table.h Tables of the outer names of enumerators. */
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace lhub {

/** An enumerator and its outer name. */
template <typename E>
struct name_row {
    E value; ///< The enumerator.
    std::string_view name; ///< Its name in settings, logs, traces and HTTP messages.
};

/** Name of @p value in @p table, or "?" if it is not in the table. Thread safe. */
template <typename E, std::size_t N>
std::string_view nameOf(const std::array<name_row<E>, N>& table, E value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

/** Enumerator with the name @p name in @p table; nothing if there is none. Thread safe. */
template <typename E, std::size_t N>
std::optional<E> valueOf(const std::array<name_row<E>, N>& table, std::string_view name)
{
    for (const auto& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace lhub
