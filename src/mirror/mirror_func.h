/** @file mirror_func.h A copy of one kind of the store's objects, and what VMs tell each other of it. */
#pragma once

#include "mirror/mirror_type.h"

namespace lhub {

/**
 * What is new to a mirror that is complete up to @p since; 0 for one that is not listed. Tombstones go along with changes;
 * where some may be missing, the whole state goes instead, like a store whose history is gone. Thread safe on a const object.
 */
mirror_news newsSince(const mirror& source, std::uint64_t since);

/** What a mirror that starts and reads the objects from the store needs to know what left before. Thread safe on a const object. */
mirror_news historyOf(const mirror& source);

/**
 * Takes in what another mirror told in answer to a question since a revision up to which @p target is complete. An object
 * that is unknown here and older than the complete state was deleted, whoever still tells of it. Not thread safe.
 * @return what has changed.
 */
std::vector<keyed_object> takeNews(mirror& target, const mirror_news& news);

/** Takes in the store's whole list at @p revision; what is missing from it was deleted. Not thread safe. @return what has changed. */
std::vector<keyed_object> takeList(mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision);

/** Takes in the store's changes up to @p revision, watched from the mirror's complete state on. Not thread safe. @return what has changed. */
std::vector<keyed_object> takeChanges(mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision);

/** Forgets the oldest tombstones when there are more than @p most. Not thread safe. @return how many. */
std::size_t forgetTombstones(mirror& target, std::size_t most);

} // namespace lhub
