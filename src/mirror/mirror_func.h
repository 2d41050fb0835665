/** @file mirror_func.h A local copy of one kind of store objects, and the updates that VMs send each other about it. */
#pragma once

#include "mirror/mirror_type.h"

namespace lhub {

/**
 * The update for a mirror that is complete up to @p since; 0 for a mirror that is not listed. It contains the changes and
 * tombstones after that revision. If tombstones may be missing it contains the whole state instead, as after a store
 * has dropped its history. Thread safe on a const object.
 */
mirror_news newsSince(const mirror& source, std::uint64_t since);

/** The update for a mirror that starts and reads the objects from the store: which objects exist and which were deleted. Thread safe on a const object. */
mirror_news historyOf(const mirror& source);

/**
 * Applies an update that another mirror sent for a revision up to which @p target was complete. An object that is not held here
 * and is older than the complete state was deleted, so that it is ignored even if another VM still sends it. Not thread safe.
 * @return the objects that changed.
 */
std::vector<keyed_object> takeNews(mirror& target, const mirror_news& update);

/** Applies the store's whole list at @p revision; an object that is not in the list was deleted. Not thread safe. @return the objects that changed. */
std::vector<keyed_object> takeList(mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision);

/** Applies the store's changes up to @p revision, from a watch that began at the mirror's complete revision. Not thread safe. @return the objects that changed. */
std::vector<keyed_object> takeChanges(mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision);

/** Drops the oldest tombstones if there are more than @p maxKept. Not thread safe. @return the number of dropped tombstones. */
std::size_t forgetTombstones(mirror& target, std::size_t maxKept);

} // namespace lhub
