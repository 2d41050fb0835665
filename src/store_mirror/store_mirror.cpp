/** @file store_mirror.cpp A local copy of one kind of store objects, and the updates that VMs send each other about it. */
#include "store_mirror/store_mirror_func.h"

#include "config/config_func.h"
#include <algorithm>
#include <set>

namespace lhub {

/** Maximum number of gaps of a mirror. Beyond it the two oldest are merged, so that some mirrors are sent a whole state without need. */
static constexpr std::size_t MaxGaps = 8;

/** Records that nothing is known of objects that were both created and deleted between @p after and @p until. */
static void addGap(store_mirror& target, std::uint64_t after, std::uint64_t until)
{
    if (until <= after)
        return;
    auto& gaps = target.gaps;
    std::erase_if(gaps, [&](const revision_gap& gap) { return gap.after >= after && gap.until <= until; });
    const auto position = std::find_if(gaps.begin(), gaps.end(), [&](const revision_gap& gap) { return gap.after >= after; });
    gaps.insert(position, { after, until });
    if (gaps.size() > MaxGaps) {
        gaps[1].after = gaps[0].after;
        gaps.erase(gaps.begin());
    }
}

/** Whether a mirror that is complete up to @p since may hold objects whose deletion is unknown to @p source. */
static bool isInGap(const store_mirror& source, std::uint64_t since)
{
    return since == 0 || std::any_of(source.gaps.begin(), source.gaps.end(), [&](const revision_gap& gap) { return since > gap.after && since < gap.until; });
}

mirror_update updateSince(const store_mirror& source, std::uint64_t since)
{
    const bool whole = source.listed && since < source.completeRevision && isInGap(source, since);
    mirror_update update { whole ? update_scope::Whole : update_scope::Changes, source.listed, source.completeRevision, source.gaps, {} };
    update.objects = objectsSince(source.held, whole ? 0 : since);
    return update;
}

mirror_update deletionHistoryOf(const store_mirror& source)
{
    if (!source.listed)
        return { update_scope::History, false, 0, {}, {} };
    mirror_update update { update_scope::History, false, source.completeRevision, source.gaps, objectsSince(source.held, 0) };
    for (auto& item : update.objects)
        item.object.value.clear();
    return update;
}

/** Merges objects, except those that are known to be deleted; see applyUpdate(). @return the objects that changed. */
static std::vector<keyed_object> mergeObjects(store_mirror& target, const std::vector<keyed_object>& objects)
{
    std::vector<keyed_object> changed;
    for (const auto& item : objects) {
        const bool knownDeleted = target.listed && item.object.version <= target.completeRevision && target.held.objects.count(item.key) == 0;
        if (knownDeleted || !mergeObject(target.held, item.key, item.object))
            continue;
        target.held.revision = std::max(target.held.revision, item.object.version);
        changed.push_back(item);
    }
    return changed;
}

/** Tombstones at @p revision for the objects of @p target that are not newer than it and are missing from the whole state, @p objects. */
static std::vector<keyed_object> deletionsByAbsence(const std::vector<keyed_object>& objects, const store_mirror& target, std::uint64_t revision)
{
    std::set<std::string_view> present;
    for (const auto& item : objects) {
        if (!item.object.deleted) // A tombstone may be older than the object that is held: the key was created again.
            present.insert(item.key);
    }
    std::vector<keyed_object> tombstones;
    for (const auto& [key, object] : target.held.objects) {
        if (!object.deleted && object.version <= revision && present.count(key) == 0)
            tombstones.push_back({ key, { revision, true, {} } });
    }
    for (const auto& [key, version] : target.unreadVersions) {
        if (version <= revision && present.count(key) == 0)
            tombstones.push_back({ key, { revision, true, {} } });
    }
    return tombstones;
}

/** Applies the whole state as of @p revision. */
static std::vector<keyed_object> applyWhole(store_mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision)
{
    auto all = deletionsByAbsence(objects, target, revision);
    all.insert(all.end(), objects.begin(), objects.end());
    auto changed = mergeObjects(target, all);
    target.completeRevision = std::max(target.completeRevision, revision);
    target.listed = true;
    target.unreadVersions.clear();
    return changed;
}

/** Applies another mirror's history: its tombstones, and the versions of the objects whose values are still to be read. */
static std::vector<keyed_object> applyHistory(store_mirror& target, const std::vector<keyed_object>& objects)
{
    target.unreadVersions.clear();
    std::vector<keyed_object> tombstones;
    for (const auto& item : objects) {
        if (item.object.deleted)
            tombstones.push_back(item);
        else
            target.unreadVersions[item.key] = item.object.version;
    }
    return mergeObjects(target, tombstones);
}

/** Adds the gaps that end after @p revision, up to which @p target was complete. */
static void addGaps(store_mirror& target, const std::vector<revision_gap>& gaps, std::uint64_t revision)
{
    for (const auto& gap : gaps) {
        if (gap.until > revision)
            addGap(target, gap.after, gap.until);
    }
}

std::vector<keyed_object> applyUpdate(store_mirror& target, const mirror_update& update)
{
    const auto completeBefore = target.completeRevision;
    if (!target.listed && update.scope != update_scope::Changes && update.completeRevision >= completeBefore) { // This mirror has no history of its own yet and adopts the sender's.
        target.gaps = update.gaps;
        target.completeRevision = update.completeRevision;
        return update.scope == update_scope::Whole ? applyWhole(target, update.objects, update.completeRevision) : applyHistory(target, update.objects);
    }
    if (update.scope == update_scope::Whole && update.completeRevision > completeBefore) {
        addGap(target, completeBefore, update.completeRevision);
        addGaps(target, update.gaps, completeBefore);
        return applyWhole(target, update.objects, update.completeRevision);
    }
    auto changed = mergeObjects(target, update.objects);
    if (update.listed && target.listed) {
        addGaps(target, update.gaps, completeBefore);
        target.completeRevision = std::max(target.completeRevision, update.completeRevision);
    }
    return changed;
}

std::vector<keyed_object> applyList(store_mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision)
{
    addGap(target, target.completeRevision, revision);
    return applyWhole(target, objects, revision);
}

std::vector<keyed_object> applyChanges(store_mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision)
{
    auto changed = mergeObjects(target, objects);
    target.completeRevision = std::max({ target.completeRevision, revision, target.held.revision });
    return changed;
}

std::size_t pruneTombstones(store_mirror& target, std::size_t maxKept)
{
    std::vector<std::pair<std::uint64_t, std::string>> tombstones;
    for (const auto& [key, object] : target.held.objects) {
        if (object.deleted)
            tombstones.emplace_back(object.version, key);
    }
    if (tombstones.size() <= maxKept)
        return 0;
    std::sort(tombstones.begin(), tombstones.end());
    const auto surplus = tombstones.size() - maxKept;
    for (std::size_t i = 0; i < surplus; ++i)
        target.held.objects.erase(tombstones[i].second);
    addGap(target, 0, tombstones[surplus - 1].first);
    return surplus;
}

} // namespace lhub
