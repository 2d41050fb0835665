/** @file name_table.h Tables that pair the values of an enum class with their names. */
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace lhub {

/** One row: a value and its name. */
template <typename E>
struct name_row {
    E value; ///< The enumerator.
    std::string_view name; ///< Its name in settings, logs and answers.
};

/** Name of @p value in @p table, or "?" when the table lacks it. Thread safe. */
template <typename E, std::size_t N>
std::string_view nameOf(const std::array<name_row<E>, N>& table, E value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "?";
}

/** Value of @p name in @p table, if there is one. Thread safe. */
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
