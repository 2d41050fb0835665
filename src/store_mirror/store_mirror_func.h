/** @file store_mirror_func.h A local copy of one kind of store objects, and the updates that VMs send each other about it. */
#pragma once

#include "store_mirror/store_mirror_type.h"

namespace lhub {

/**
 * The update for a mirror that is complete up to @p since; 0 for a mirror that is not listed. It contains the changes and
 * tombstones after that revision. If tombstones may be missing it contains the whole state instead, as after a store
 * has dropped its history. Thread safe on a const object.
 */
mirror_update updateSince(const store_mirror& source, std::uint64_t since);

/** The update for a mirror that starts and reads the objects from the store: which objects exist and which were deleted. Thread safe on a const object. */
mirror_update deletionHistoryOf(const store_mirror& source);

/**
 * Applies an update that another mirror sent for a revision up to which @p target was complete. An object that is not held here
 * and is older than the complete state was deleted, so that it is ignored even if another VM still sends it. Not thread safe.
 * @return the objects that changed.
 */
std::vector<keyed_object> applyUpdate(store_mirror& target, const mirror_update& update);

/** Applies the store's whole list at @p revision; an object that is not in the list was deleted. Not thread safe. @return the objects that changed. */
std::vector<keyed_object> applyList(store_mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision);

/** Applies the store's changes up to @p revision, from a watch that began at the mirror's complete revision. Not thread safe. @return the objects that changed. */
std::vector<keyed_object> applyChanges(store_mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision);

/** Drops the oldest tombstones if there are more than @p maxKept. Not thread safe. @return the number of dropped tombstones. */
std::size_t pruneTombstones(store_mirror& target, std::size_t maxKept);

} // namespace lhub
