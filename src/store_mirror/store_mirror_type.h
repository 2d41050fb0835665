/** @file store_mirror_type.h A local copy of one kind of store objects, and the updates that VMs send each other about it. */
#pragma once

#include "config/config_type.h"
#include "core/name_table.h"
#include <cstdint>
#include <vector>

namespace lhub {

/** A range of store revisions in which deletions may have been missed: nothing is known of objects that were both created and deleted within it. */
struct revision_gap {
    std::uint64_t after = 0; ///< Revision of the complete state at its start.
    std::uint64_t until = 0; ///< Revision of the complete state at its end.
};

/** A local copy of one kind of store objects. */
struct store_mirror {
    config_state held; ///< Objects and tombstones; its revision is that of the newest change among them.
    std::uint64_t completeRevision = 0; ///< Store revision up to which every change has been applied; before the mirror is listed, every deletion.
    bool listed = false; ///< All objects as of the complete revision are held; before that only those that other VMs happened to send.
    std::map<std::string, std::uint64_t> unreadVersions; ///< Versions by key of the objects in another mirror's history, whose values are still to be read; empty once the mirror is listed.
    std::vector<revision_gap> gaps; ///< In ascending order. A mirror that was complete at a revision inside a gap needs the whole state.
};

/** How much an update contains. */
enum class update_scope {
    Changes, ///< Changes and tombstones after a revision.
    Whole, ///< All objects and tombstones; an object that is not among them was deleted.
    History, ///< All tombstones, and all objects without their values, for a mirror that reads the values from the store.
};
inline constexpr std::array<name_row<update_scope>, 3> UpdateScopeNames { { { update_scope::Changes, "changes" }, { update_scope::Whole, "whole" }, { update_scope::History, "history" } } };

/** An update that one VM's mirror sends to another's. */
struct mirror_update {
    update_scope scope = update_scope::Changes; ///< What the objects are.
    bool listed = false; ///< Whether the sender's mirror is listed.
    std::uint64_t completeRevision = 0; ///< Store revision up to which the sender's mirror is complete.
    std::vector<revision_gap> gaps; ///< Gaps of the sender; the receiver inherits them.
    std::vector<keyed_object> objects; ///< In ascending order of their versions.
};

} // namespace lhub
