/** @file codec.h Converts events to JSON and back with Boost.Describe. One line of a trace holds one event. */
#pragma once

#include "agent/agent_type.h"
#include "core/json_fields.h"
#include "entry/entry_event.h"
#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <set>

namespace lhub {

/** Name table of an enumeration; the argument selects it by its type only. */
inline const auto& namesOf(verdict) { return VerdictNames; }
inline const auto& namesOf(dispatch_outcome) { return DispatchOutcomeNames; }
inline const auto& namesOf(acquire_result) { return AcquireResultNames; }
inline const auto& namesOf(request_phase) { return RequestPhaseNames; }
inline const auto& namesOf(claim_result) { return ClaimResultNames; }
inline const auto& namesOf(store_result) { return StoreResultNames; }

BOOST_DESCRIBE_STRUCT(config_object, (), (version, deleted, value))
BOOST_DESCRIBE_STRUCT(keyed_object, (), (key, object))
BOOST_DESCRIBE_STRUCT(peer_state, (), (vm, address, incarnation, leaving, owned))
BOOST_DESCRIBE_STRUCT(
    acquire_request, (), (callId, requestId, vm, deadline, weight, avoid, sourceZone, mayMove))
BOOST_DESCRIBE_STRUCT(acquire_answer, (), (callId, result, endpoint, address, reservation, reason))
BOOST_DESCRIBE_STRUCT(reservation_row, (), (id, endpoint, vm, left))
BOOST_DESCRIBE_STRUCT(request_state, (),
    (id, requestId, service, method, key, sourceZone, deadline))
BOOST_DESCRIBE_STRUCT(tick, (), ())
BOOST_DESCRIBE_STRUCT(config_arrived, (), (revision, objects, age, askedAt))
BOOST_DESCRIBE_STRUCT(heartbeat_arrived, (), (said))
BOOST_DESCRIBE_STRUCT(heartbeat_answered, (), (said, sentAt))
BOOST_DESCRIBE_STRUCT(peer_refused, (), (vm))
BOOST_DESCRIBE_STRUCT(acquire_arrived, (), (service, request))
BOOST_DESCRIBE_STRUCT(acquire_answered, (), (service, vm, reached, answer))
BOOST_DESCRIBE_STRUCT(release_arrived, (), (service, vm, reservation, endpoint, ended, endpointLeaving))
BOOST_DESCRIBE_STRUCT(release_answered, (), (reservation, reached))
BOOST_DESCRIBE_STRUCT(take_over_arrived, (), (callId, service, vm))
BOOST_DESCRIBE_STRUCT(take_over_answered, (), (service, vm, handedOver, epoch, reservations))
BOOST_DESCRIBE_STRUCT(held_arrived, (), (callId, service))
BOOST_DESCRIBE_STRUCT(held_answered, (), (service, vm, reservations))
BOOST_DESCRIBE_STRUCT(credit_arrived, (), (callId, service, sourceZone, wanted))
BOOST_DESCRIBE_STRUCT(credit_answered, (), (service, zone, owner, granted, valid, sentAt))
BOOST_DESCRIBE_STRUCT(lend_arrived, (), (callId, service, shift, zone, wanted, capPerSecond))
BOOST_DESCRIBE_STRUCT(
    lend_answered, (), (service, shift, zone, owner, granted, valid, capPerSecond, sentAt))
BOOST_DESCRIBE_STRUCT(request_arrived, (), (request))
BOOST_DESCRIBE_STRUCT(claim_answered, (), (id, result, version, known))
BOOST_DESCRIBE_STRUCT(key_claim_arrived, (), (callId, key, requestId))
BOOST_DESCRIBE_STRUCT(key_settled, (), (key, requestId, known))
BOOST_DESCRIBE_STRUCT(dispatch_ended, (), (id, ended, replayable, endpointLeaving))
BOOST_DESCRIBE_STRUCT(caller_left, (), (id))
BOOST_DESCRIBE_STRUCT(probe_ended, (), (service, endpoint, answered, leaving, inflight))
BOOST_DESCRIBE_STRUCT(stop_asked, (), ())
BOOST_DESCRIBE_STRUCT(store_reply, (), (result, object, revision, objects, reason))
BOOST_DESCRIBE_STRUCT(agent_tick, (), ())
BOOST_DESCRIBE_STRUCT(store_watched, (), (reply, askedAt))
BOOST_DESCRIBE_STRUCT(peer_fetched, (), (address, reached, revision, objects, age, askedAt))
BOOST_DESCRIBE_STRUCT(fetch_arrived, (), (callId, since, wait, fromEntry, entryLeaving, gone))
BOOST_DESCRIBE_STRUCT(registration_written, (), (reply))
BOOST_DESCRIBE_STRUCT(agent_stop_asked, (), ())

/** Microseconds since the epoch of the clock. */
inline std::int64_t toMicroseconds(time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

// -- Encoding. Durations are written in milliseconds, times in microseconds.

inline json::value encodeValue(bool value) { return value; }
inline json::value encodeValue(std::uint32_t value) { return value; }
inline json::value encodeValue(std::uint64_t value) { return value; }
inline json::value encodeValue(const std::string& value) { return json::value(value); }
inline json::value encodeValue(milliseconds value) { return static_cast<std::int64_t>(value.count()); }
inline json::value encodeValue(time_point value) { return toMicroseconds(value); }

template <typename E>
    requires std::is_enum_v<E>
json::value encodeValue(E value)
{
    return json::value(nameOf(namesOf(value), value));
}

template <typename T>
    requires boost::describe::has_describe_members<T>::value
json::value encodeValue(const T& value);

template <typename T>
json::value encodeValue(const std::vector<T>& values)
{
    json::array result;
    for (const auto& value : values)
        result.push_back(encodeValue(value));
    return result;
}

template <typename T>
json::value encodeValue(const std::map<std::string, T>& values)
{
    json::object result;
    for (const auto& [key, value] : values)
        result[key] = encodeValue(value);
    return result;
}

template <typename T>
    requires boost::describe::has_describe_members<T>::value
json::value encodeValue(const T& value)
{
    json::object result;
    boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_public>>(
        [&](auto member) { result[member.name] = encodeValue(value.*member.pointer); });
    return result;
}

// -- Decoding. Throws boost::system::system_error or std::exception on malformed input

inline void decodeValue(const json::value& from, bool& to) { to = from.as_bool(); }
inline void decodeValue(const json::value& from, std::uint32_t& to) { to = from.to_number<std::uint32_t>(); }
inline void decodeValue(const json::value& from, std::uint64_t& to) { to = from.to_number<std::uint64_t>(); }
inline void decodeValue(const json::value& from, std::string& to) { to = std::string(from.as_string()); }
inline void decodeValue(const json::value& from, milliseconds& to) { to = milliseconds(from.to_number<std::int64_t>()); }
inline void decodeValue(const json::value& from, time_point& to)
{
    to = time_point(std::chrono::microseconds(from.to_number<std::int64_t>()));
}

template <typename E>
    requires std::is_enum_v<E>
void decodeValue(const json::value& from, E& to)
{
    const auto found = valueOf(namesOf(to), std::string_view(from.as_string()));
    if (!found)
        throw std::invalid_argument("no such name: " + json::serialize(from));
    to = *found;
}

template <typename T>
    requires boost::describe::has_describe_members<T>::value
void decodeValue(const json::value& from, T& to);

template <typename T>
void decodeValue(const json::value& from, std::vector<T>& to)
{
    for (const auto& item : from.as_array())
        decodeValue(item, to.emplace_back());
}

template <typename T>
void decodeValue(const json::value& from, std::map<std::string, T>& to)
{
    for (const auto& item : from.as_object())
        decodeValue(item.value(), to[std::string(item.key())]);
}

template <typename T>
    requires boost::describe::has_describe_members<T>::value
void decodeValue(const json::value& from, T& to)
{
    const auto& object = from.as_object();
    boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_public>>(
        [&](auto member) {
            // A member missing from the trace keeps its default, so that older traces stay readable.
            if (const auto* value = object.if_contains(member.name))
                decodeValue(*value, to.*member.pointer);
        });
}

} // namespace lhub
