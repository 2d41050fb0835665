/** @file test_mirror.cpp What VMs tell each other of the store: deletions survive restarts, outages and stale VMs. */
#include "mirror/mirror_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace lhub;

static keyed_object object(const std::string& key, std::uint64_t version) { return { key, { version, false, "{}" } }; }
static keyed_object tombstone(const std::string& key, std::uint64_t version) { return { key, { version, true, {} } }; }

static std::set<std::string> liveKeys(const mirror& copy)
{
    std::set<std::string> keys;
    for (const auto& [key, held] : copy.held.objects) {
        if (!held.deleted)
            keys.insert(key);
    }
    return keys;
}

/** One asks, the other tells. */
static void ask(mirror& asking, const mirror& telling) { takeNews(asking, newsSince(telling, asking.listed ? asking.complete : 0)); }

TEST_CASE("mirror: a VM that read the store anew makes others forget what left meanwhile")
{
    mirror cut; // Cut off from the store since revision 10.
    takeList(cut, { object("e0", 5), object("e1", 6) }, 10);
    mirror restarted; // Started after e0 had left at 15: it never heard of it.
    takeList(restarted, { object("e1", 6) }, 20);
    ask(cut, restarted);
    CHECK(liveKeys(cut) == std::set<std::string> { "e1" });
    CHECK(cut.complete == 20);
}

TEST_CASE("mirror: a stale VM does not bring back what has left")
{
    mirror stale;
    takeList(stale, { object("e0", 12), object("e1", 6) }, 13);
    mirror restarted; // e0 left at 15.
    takeList(restarted, { object("e1", 6) }, 20);
    ask(restarted, stale);
    CHECK(liveKeys(restarted) == std::set<std::string> { "e1" });
    // Not even when it tells everything, unasked.
    takeNews(restarted, newsSince(stale, 0));
    CHECK(liveKeys(restarted) == std::set<std::string> { "e1" });
}

TEST_CASE("mirror: a restart that inherits history tells others changes only")
{
    mirror watcher;
    takeList(watcher, { object("e0", 5), object("e1", 6) }, 10);
    mirror follower;
    ask(follower, watcher);
    takeChanges(watcher, { tombstone("e0", 15) }, 15);
    mirror restarted;
    takeNews(restarted, historyOf(watcher));
    CHECK_FALSE(restarted.listed);
    takeList(restarted, { object("e1", 6), object("e2", 18) }, 20);
    CHECK(liveKeys(restarted) == std::set<std::string> { "e1", "e2" });
    CHECK(newsSince(restarted, follower.complete).scope == news_scope::Changes);
    ask(follower, restarted);
    CHECK(liveKeys(follower) == std::set<std::string> { "e1", "e2" });
}

TEST_CASE("mirror: forgotten tombstones cost a whole state, not an object that stays")
{
    mirror watcher;
    std::vector<keyed_object> all;
    for (std::uint64_t i = 1; i <= 20; ++i)
        all.push_back(object("e" + std::to_string(i), i));
    takeList(watcher, all, 20);
    mirror late;
    ask(late, watcher);
    for (std::uint64_t i = 1; i <= 15; ++i)
        takeChanges(watcher, { tombstone("e" + std::to_string(i), 20 + i) }, 20 + i);
    CHECK(forgetTombstones(watcher, 5) == 10);
    CHECK(forgetTombstones(watcher, 5) == 0);
    CHECK(newsSince(watcher, late.complete).scope == news_scope::Whole);
    CHECK(newsSince(watcher, 30).scope == news_scope::Changes);
    ask(late, watcher);
    CHECK(liveKeys(late) == liveKeys(watcher));
}

/** The store in the model below. */
struct model_store {
    mirror truth; ///< Every object and tombstone there ever was.
};

/** Plays writes, watches, restarts, lists, cuts and calls for news in any order. @return the reason of a breach. */
static std::string playMirrors(const std::vector<std::pair<unsigned, unsigned>>& steps)
{
    static constexpr unsigned Vms = 4;
    model_store store;
    store.truth.listed = true;
    std::array<mirror, Vms> vms;
    const auto list = [&](mirror& copy) {
        auto news = newsSince(store.truth, 0);
        std::erase_if(news.objects, [](const auto& item) { return item.object.deleted; });
        takeList(copy, news.objects, store.truth.complete);
    };
    for (const auto& [kind, draw] : steps) {
        auto& one = vms[draw % Vms];
        auto& other = vms[(draw / Vms) % Vms];
        const auto key = "e" + std::to_string((draw / 16) % 6);
        const auto next = store.truth.complete + 1;
        switch (kind % 8) {
        case 0:
        case 1:
            takeChanges(store.truth, { object(key, next) }, next);
            break;
        case 2:
            if (store.truth.held.objects.count(key) > 0 && !store.truth.held.objects[key].deleted)
                takeChanges(store.truth, { tombstone(key, next) }, next);
            break;
        case 3: // A watch, or a list by one that has none.
            if (one.listed)
                takeChanges(one, newsSince(store.truth, one.complete).objects, store.truth.complete);
            else
                list(one);
            break;
        case 4: // A restart; it may ask another first, or read the store, or neither yet.
            one = {};
            if (draw % 3 == 0 && &one != &other)
                takeNews(one, historyOf(other));
            break;
        case 5:
            list(one);
            break;
        case 6:
            if (&one != &other)
                ask(one, other);
            break;
        default:
            forgetTombstones(one, draw % 3);
        }
        for (const auto& vm : vms) {
            if (!vm.listed)
                continue;
            for (const auto& [name, held] : store.truth.held.objects) {
                const bool known = vm.held.objects.count(name) > 0 && !vm.held.objects.at(name).deleted;
                if (held.version <= vm.complete && known == held.deleted)
                    return name + (known ? " is in use and has left at " : " is missing since ") + std::to_string(held.version) + " at a VM that is complete up to " + std::to_string(vm.complete);
            }
        }
    }
    return {};
}

TEST_CASE("mirror: whatever the order of writes, restarts, lists and calls, a complete mirror holds what exists")
{
    const bool held = rc::check([](const std::vector<std::pair<unsigned, unsigned>>& steps) { RC_ASSERT(playMirrors(steps) == ""); });
    CHECK(held);
    std::uint64_t state = 20261204;
    for (int run = 0; run < 300; ++run) {
        std::vector<std::pair<unsigned, unsigned>> steps;
        for (int i = 0; i < 120; ++i) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            steps.emplace_back(static_cast<unsigned>(state >> 40U), static_cast<unsigned>(state >> 20U) & 0xfffffU);
        }
        const auto breach = playMirrors(steps);
        INFO("run " << run << ", seed 20261204: " << breach);
        REQUIRE(breach.empty());
    }
}
