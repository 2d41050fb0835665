/** @file json_fields.h Tables of fields, by which a struct is read from JSON, checked and written as JSON. */
#pragma once

#include "core/name_table.h"
#include "core/outcome.h"
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lhub {

namespace json = boost::json;

/** A fault of one field in a JSON document. */
struct field_fault {
    std::string field; ///< Name of the field.
    std::string value; ///< The given value as JSON; "(missing)" if there is none.
    std::string expected; ///< Description of a valid value, for people.
};

/** Describes one field of T. */
template <typename T>
struct json_field {
    std::string_view name; ///< Key in the JSON object.
    bool required; ///< Whether its absence is a fault.
    std::string expected; ///< Description of a valid value, for people.
    std::function<bool(T&, const json::value&)> read; ///< Stores the value in the object; returns false if it is not valid.
    std::function<json::value(const T&)> write; ///< Returns the object's value as JSON.
};

/** Whether @p text is "IP:port" with a numeric IPv4 or IPv6 address and port 1 to 65535. Thread safe. */
bool isAddress(std::string_view text);

/** Whether @p text is a name: 1 to 63 characters of a-z, 0-9, '-', '.', '_'. Thread safe. */
bool isName(std::string_view text);

/** Parses JSON; comments and trailing commas are allowed. Thread safe. */
outcome<json::value> parseJson(std::string_view text);

/** A text field without further checks. */
template <typename T>
json_field<T> textField(std::string_view name, std::string T::*member, bool required = true)
{
    return { name, required, "a text",
        [member](T& object, const json::value& value) {
            if (!value.is_string())
                return false;
            object.*member = std::string(value.get_string());
            return true;
        },
        [member](const T& object) { return json::value(object.*member); } };
}

/** A text field that must pass @p check; @p expected describes a valid value. */
template <typename T>
json_field<T> checkedField(std::string_view name, std::string T::*member, bool (*check)(std::string_view),
    const std::string& expected, bool required = true)
{
    auto field = textField(name, member, required);
    field.expected = expected;
    field.read = [member, check](T& object, const json::value& value) {
        if (!value.is_string() || !check(value.get_string()))
            return false;
        object.*member = std::string(value.get_string());
        return true;
    };
    return field;
}

/** A text field that must pass isName(). */
template <typename T>
json_field<T> nameField(std::string_view name, std::string T::*member, bool required = true)
{
    return checkedField(name, member, isName, "a name of 1 to 63 characters a-z 0-9 - . _", required);
}

/** A text field that must pass isAddress(). */
template <typename T>
json_field<T> addressField(std::string_view name, std::string T::*member, bool required = true)
{
    return checkedField(name, member, isAddress, "an address IP:port with a numeric IP", required);
}

/** An integer field with a value from @p low to @p high. */
template <typename T, typename N>
json_field<T> numberField(std::string_view name, N T::*member, N low, N high, bool required = true)
{
    return { name, required, "a whole number from " + std::to_string(low) + " to " + std::to_string(high),
        [member, low, high](T& object, const json::value& value) {
            boost::system::error_code error;
            const auto number = value.to_number<N>(error);
            if (error || !value.is_number() || value.is_double() || number < low || number > high)
                return false;
            object.*member = number;
            return true;
        },
        [member](const T& object) { return json::value(object.*member); } };
}

/** A boolean field. */
template <typename T>
json_field<T> flagField(std::string_view name, bool T::*member, bool required = false)
{
    return { name, required, "true or false",
        [member](T& object, const json::value& value) {
            if (!value.is_bool())
                return false;
            object.*member = value.get_bool();
            return true;
        },
        [member](const T& object) { return json::value(object.*member); } };
}

/** An enum field, written by its name in @p table, which must outlive the field. */
template <typename T, typename E, std::size_t N>
json_field<T> enumField(
    std::string_view name, E T::*member, const std::array<name_row<E>, N>& table, bool required = true)
{
    std::string expected = "one of";
    for (const auto& row : table)
        expected += " " + std::string(row.name);
    return { name, required, expected,
        [member, &table](T& object, const json::value& value) {
            if (!value.is_string())
                return false;
            const auto found = valueOf(table, std::string_view(value.get_string()));
            if (found)
                object.*member = *found;
            return found.has_value();
        },
        [member, &table](const T& object) { return json::value(nameOf(table, object.*member)); } };
}

/** A field that is a list of texts, each of which must pass @p check. */
template <typename T>
json_field<T> listField(std::string_view name, std::vector<std::string> T::*member, bool (*check)(std::string_view),
    std::string expected, bool required = false)
{
    return { name, required, std::move(expected),
        [member, check](T& object, const json::value& value) {
            if (!value.is_array())
                return false;
            std::vector<std::string> texts;
            for (const auto& item : value.get_array()) {
                if (!item.is_string() || !check(item.get_string()))
                    return false;
                texts.emplace_back(item.get_string());
            }
            object.*member = std::move(texts);
            return true;
        },
        [member](const T& object) { return json::value_from(object.*member); } };
}

/**
 * Reads the JSON object @p value into @p object and goes on after a fault, to report all of them. Thread safe.
 * @return the faults in the order of the table, then unknown keys; empty if there are none.
 */
template <typename T>
std::vector<field_fault> readFields(const std::vector<json_field<T>>& table, const json::value& value, T& object)
{
    if (!value.is_object())
        return { { "(document)", json::serialize(value), "a JSON object" } };
    std::vector<field_fault> faults;
    const auto& given = value.get_object();
    for (const auto& field : table) {
        const auto* present = given.if_contains(field.name);
        if (!present && field.required)
            faults.push_back({ std::string(field.name), "(missing)", field.expected });
        if (present && !field.read(object, *present))
            faults.push_back({ std::string(field.name), json::serialize(*present), field.expected });
    }
    for (const auto& item : given) {
        bool known = false;
        for (const auto& field : table)
            known = known || field.name == item.key();
        if (!known)
            faults.push_back({ std::string(item.key()), json::serialize(item.value()), "no such key" });
    }
    return faults;
}

/** Writes all fields of @p object as JSON. Thread safe. */
template <typename T>
json::object writeFields(const std::vector<json_field<T>>& table, const T& object)
{
    json::object result;
    for (const auto& field : table)
        result[field.name] = field.write(object);
    return result;
}

} // namespace lhub
