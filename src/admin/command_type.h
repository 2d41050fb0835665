/** @file command_type.h Operators' changes: every one is a command with a test and an execute step. */
#pragma once

#include "config/config_type.h"
#include "core/json_fields.h"
#include "store/store_type.h"

namespace lhub {

/** Goes with every change. */
struct change_meta {
    std::string who; ///< Operator.
    std::string why; ///< Reason, for people.
    std::string changeId; ///< Idempotent: the same id again is the same change.
    bool validateOnly = false; ///< Test only.
    std::uint64_t expectedVersion = 0; ///< Version that must be present; 0: the object must not exist.
};

/** One change of one object. */
struct change_command {
    std::string key; ///< "service/registry", ...
    change_meta meta; ///< Who, why, under which condition.
    std::optional<json::object> spec; ///< New fields; none removes the object.
    std::vector<field_fault> faults; ///< What the test step found wrong.
};

/** How a change ended. */
enum class change_result {
    Unknown, ///< The store did not say; repeat with the same change id.
    Accepted, ///< It is in the store and will never revert.
    Valid, ///< Nothing is wrong with it; it was to be tested only.
    Conflict, ///< Somebody was first.
    Invalid, ///< The test step found faults.
};

/** Names of change results. */
inline constexpr std::array<name_row<change_result>, 5> ChangeResultNames { {
    { change_result::Unknown, "unknown" },
    { change_result::Accepted, "accepted" },
    { change_result::Valid, "valid" },
    { change_result::Conflict, "conflict" },
    { change_result::Invalid, "invalid" },
} };

/** Answer to a change. */
struct change_reply {
    change_result result = change_result::Unknown; ///< How it ended.
    std::uint64_t version = 0; ///< Version of the object when accepted.
    config_object present; ///< What is there, on a conflict.
    std::vector<field_fault> faults; ///< When invalid.
    std::string reason; ///< For people.
};

} // namespace lhub
