/** @file mirror.cpp A copy of one kind of the store's objects, and what VMs tell each other of it. */
#include "mirror/mirror_func.h"

#include "config/config_func.h"
#include <algorithm>
#include <set>

namespace lhub {

/** Gaps kept apart; beyond that the two oldest become one, which costs a whole state more now and then. */
static constexpr std::size_t MostGaps = 8;

/** Notes that nothing is known of objects that lived between @p after and @p until only. */
static void addGap(mirror& target, std::uint64_t after, std::uint64_t until)
{
    if (until <= after)
        return;
    auto& gaps = target.gaps;
    std::erase_if(gaps, [&](const revision_gap& gap) { return gap.after >= after && gap.until <= until; });
    const auto at = std::find_if(gaps.begin(), gaps.end(), [&](const revision_gap& gap) { return gap.after >= after; });
    gaps.insert(at, { after, until });
    if (gaps.size() > MostGaps) {
        gaps[1].after = gaps[0].after;
        gaps.erase(gaps.begin());
    }
}

/** Whether a mirror that was complete at @p since may hold objects whose deletion is unknown here. */
static bool isInGap(const mirror& source, std::uint64_t since)
{
    return since == 0 || std::any_of(source.gaps.begin(), source.gaps.end(), [&](const revision_gap& gap) { return since > gap.after && since < gap.until; });
}

mirror_news newsSince(const mirror& source, std::uint64_t since)
{
    const bool whole = source.listed && since < source.complete && isInGap(source, since);
    mirror_news news { whole ? news_scope::Whole : news_scope::Changes, source.listed, source.complete, source.gaps, {} };
    news.objects = objectsSince(source.held, whole ? 0 : since);
    return news;
}

mirror_news historyOf(const mirror& source)
{
    if (!source.listed)
        return { news_scope::History, false, 0, {}, {} };
    mirror_news news { news_scope::History, false, source.complete, source.gaps, objectsSince(source.held, 0) };
    for (auto& item : news.objects)
        item.object.value.clear();
    return news;
}

/** Merges objects; see takeNews() for those that are left out. @return what has changed. */
static std::vector<keyed_object> merge(mirror& target, const std::vector<keyed_object>& objects)
{
    std::vector<keyed_object> changed;
    for (const auto& item : objects) {
        const bool deletedBefore = target.listed && item.object.version <= target.complete && target.held.objects.count(item.key) == 0;
        if (deletedBefore || !mergeObject(target.held, item.key, item.object))
            continue;
        target.held.revision = std::max(target.held.revision, item.object.version);
        changed.push_back(item);
    }
    return changed;
}

/** What is held, not newer than @p revision and missing from the whole state, as deleted then. */
static std::vector<keyed_object> missingFrom(const std::vector<keyed_object>& objects, const mirror& target, std::uint64_t revision)
{
    std::set<std::string_view> present;
    for (const auto& item : objects) {
        if (!item.object.deleted) // A tombstone may be of an earlier life than the object that is held.
            present.insert(item.key);
    }
    std::vector<keyed_object> missing;
    for (const auto& [key, object] : target.held.objects) {
        if (!object.deleted && object.version <= revision && present.count(key) == 0)
            missing.push_back({ key, { revision, true, {} } });
    }
    for (const auto& [key, version] : target.named) {
        if (version <= revision && present.count(key) == 0)
            missing.push_back({ key, { revision, true, {} } });
    }
    return missing;
}

/** Takes in a whole state as it was at @p revision. */
static std::vector<keyed_object> takeWhole(mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision)
{
    auto all = missingFrom(objects, target, revision);
    all.insert(all.end(), objects.begin(), objects.end());
    auto changed = merge(target, all);
    target.complete = std::max(target.complete, revision);
    target.listed = true;
    target.named.clear();
    return changed;
}

/** Takes over another mirror's history; the objects themselves are still to be read. */
static std::vector<keyed_object> takeHistory(mirror& target, const std::vector<keyed_object>& objects)
{
    target.named.clear();
    std::vector<keyed_object> tombstones;
    for (const auto& item : objects) {
        if (item.object.deleted)
            tombstones.push_back(item);
        else
            target.named[item.key] = item.object.version;
    }
    return merge(target, tombstones);
}

static void addGaps(mirror& target, const std::vector<revision_gap>& gaps, std::uint64_t beyond)
{
    for (const auto& gap : gaps) {
        if (gap.until > beyond)
            addGap(target, gap.after, gap.until);
    }
}

std::vector<keyed_object> takeNews(mirror& target, const mirror_news& news)
{
    const auto before = target.complete;
    if (!target.listed && news.scope != news_scope::Changes && news.complete >= before) { // The sender's history becomes that of this mirror.
        target.gaps = news.gaps;
        target.complete = news.complete;
        return news.scope == news_scope::Whole ? takeWhole(target, news.objects, news.complete) : takeHistory(target, news.objects);
    }
    if (news.scope == news_scope::Whole && news.complete > before) {
        addGap(target, before, news.complete);
        addGaps(target, news.gaps, before);
        return takeWhole(target, news.objects, news.complete);
    }
    auto changed = merge(target, news.objects);
    if (news.listed && target.listed) {
        addGaps(target, news.gaps, before);
        target.complete = std::max(target.complete, news.complete);
    }
    return changed;
}

std::vector<keyed_object> takeList(mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision)
{
    addGap(target, target.complete, revision);
    return takeWhole(target, objects, revision);
}

std::vector<keyed_object> takeChanges(mirror& target, const std::vector<keyed_object>& objects, std::uint64_t revision)
{
    auto changed = merge(target, objects);
    target.complete = std::max({ target.complete, revision, target.held.revision });
    return changed;
}

std::size_t forgetTombstones(mirror& target, std::size_t most)
{
    std::vector<std::pair<std::uint64_t, std::string>> tombstones;
    for (const auto& [key, object] : target.held.objects) {
        if (object.deleted)
            tombstones.emplace_back(object.version, key);
    }
    if (tombstones.size() <= most)
        return 0;
    std::sort(tombstones.begin(), tombstones.end());
    const auto surplus = tombstones.size() - most;
    for (std::size_t i = 0; i < surplus; ++i)
        target.held.objects.erase(tombstones[i].second);
    addGap(target, 0, tombstones[surplus - 1].first);
    return surplus;
}

} // namespace lhub
