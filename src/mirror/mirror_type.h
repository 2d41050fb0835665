/** @file mirror_type.h A copy of one kind of the store's objects, and what VMs tell each other of it. */
#pragma once

#include "config/config_type.h"
#include "core/name_table.h"
#include <cstdint>
#include <vector>

namespace lhub {

/** Revisions between two complete states with nothing known of objects that were both created and deleted in between. */
struct revision_gap {
    std::uint64_t after = 0; ///< The earlier complete state.
    std::uint64_t until = 0; ///< The later one.
};

/** A copy of one kind of objects. */
struct mirror {
    config_state held; ///< Objects and tombstones; its revision is the newest change among them.
    std::uint64_t complete = 0; ///< Every change up to here has been taken in; before the mirror is listed, deletions only.
    bool listed = false; ///< All objects are held; before that only what others happened to tell.
    std::map<std::string, std::uint64_t> named; ///< Before the mirror is listed: versions of the objects at its complete state.
    std::vector<revision_gap> gaps; ///< In ascending order. Who was complete inside of one needs the whole state.
};

/** How much a mirror tells. */
enum class news_scope {
    Changes, ///< Changes and tombstones beyond a revision.
    Whole, ///< All objects and tombstones; an object that is missing was deleted.
    History, ///< Tombstones, and all objects without their values, for a mirror that reads those elsewhere.
};
inline constexpr std::array<name_row<news_scope>, 3> NewsScopeNames { { { news_scope::Changes, "changes" }, { news_scope::Whole, "whole" }, { news_scope::History, "history" } } };

/** What one mirror tells another. */
struct mirror_news {
    news_scope scope = news_scope::Changes; ///< What the objects are.
    bool listed = false; ///< The sender's mirror is listed.
    std::uint64_t complete = 0; ///< Up to which revision the sender's mirror is complete.
    std::vector<revision_gap> gaps; ///< What the sender does not know, and the receiver does not either from then on.
    std::vector<keyed_object> objects; ///< In the order of their versions.
};

} // namespace lhub
