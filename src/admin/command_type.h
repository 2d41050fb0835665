/** @file command_type.h Operators' changes: each is a command that is validated and then executed. */
#pragma once

#include "config/config_type.h"
#include "core/json_fields.h"
#include "store/store_type.h"

namespace lhub {

/** Who makes a change, why and under which condition. */
struct change_meta {
    std::string who; ///< Name of the operator; required.
    std::string why; ///< Reason, for people.
    std::string changeId; ///< Chosen by the client; a put whose id is in the object's history is not executed again.
    bool validateOnly = false; ///< Validate without writing.
    std::uint64_t expectedVersion = 0; ///< Version of the object that the change replaces; 0: the object must not exist.
};

/** One change of one object. */
struct change_command {
    std::string key; ///< Key of the object, such as "service/registry".
    change_meta meta;
    std::optional<json::object> spec; ///< New fields; unset to remove the object.
    std::vector<field_fault> faults; ///< Faults found by validation.
};

/** How a change ended. */
enum class change_result {
    Unknown, ///< The store failed or its reply was lost; the client may repeat the change with the same id.
    Accepted, ///< Written to the store, durably.
    Valid, ///< Validated without faults and, as requested, not written.
    Conflict, ///< The object has another version than the expected one.
    Invalid, ///< Validation found faults.
};

/** Names of change results in replies to operators. */
inline constexpr std::array<name_row<change_result>, 5> ChangeResultNames { {
    { change_result::Unknown, "unknown" },
    { change_result::Accepted, "accepted" },
    { change_result::Valid, "valid" },
    { change_result::Conflict, "conflict" },
    { change_result::Invalid, "invalid" },
} };

/** Reply to a change. */
struct change_reply {
    change_result result = change_result::Unknown;
    std::uint64_t version = 0; ///< New version of the object if accepted; 0 otherwise and after a removal confirmed by a read.
    config_object present; ///< Object in the store as last read or written.
    std::vector<field_fault> faults; ///< Set if the result is Invalid.
    std::string reason; ///< Explanation for the operator.
};

} // namespace lhub
