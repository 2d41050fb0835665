/** @file test_store_mirror.cpp Updates between mirrors: deletions are not lost by restarts, outages and VMs with old state. */
#include "store_mirror/store_mirror_func.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace lhub;

static keyed_object object(const std::string& key, std::uint64_t version) { return { key, { version, false, "{}" } }; }
static keyed_object tombstone(const std::string& key, std::uint64_t version) { return { key, { version, true, {} } }; }

static std::set<std::string> existingKeys(const store_mirror& copy)
{
    std::set<std::string> keys;
    for (const auto& [key, held] : copy.held.objects) {
        if (!held.deleted)
            keys.insert(key);
    }
    return keys;
}

/** Brings @p target up to date from @p source. */
static void update(store_mirror& target, const store_mirror& source) { applyUpdate(target, updateSince(source, target.listed ? target.completeRevision : 0)); }

TEST_CASE("mirror: an update from a VM that listed the store anew removes objects that were deleted meanwhile")
{
    store_mirror cutOff; // Cannot reach the store since revision 10.
    applyList(cutOff, { object("e0", 5), object("e1", 6) }, 10);
    store_mirror restarted; // Started after e0 was deleted at revision 15: it never saw that deletion.
    applyList(restarted, { object("e1", 6) }, 20);
    update(cutOff, restarted);
    CHECK(existingKeys(cutOff) == std::set<std::string> { "e1" });
    CHECK(cutOff.completeRevision == 20);
}

TEST_CASE("mirror: an update from a VM with old state does not bring back deleted objects")
{
    store_mirror stale;
    applyList(stale, { object("e0", 12), object("e1", 6) }, 13);
    store_mirror restarted; // e0 was deleted at revision 15.
    applyList(restarted, { object("e1", 6) }, 20);
    update(restarted, stale);
    CHECK(existingKeys(restarted) == std::set<std::string> { "e1" });
    // Nor does the whole old state.
    applyUpdate(restarted, updateSince(stale, 0));
    CHECK(existingKeys(restarted) == std::set<std::string> { "e1" });
}

TEST_CASE("mirror: a VM that got the history of another one at its start sends others changes instead of the whole state")
{
    store_mirror watcher;
    applyList(watcher, { object("e0", 5), object("e1", 6) }, 10);
    store_mirror follower;
    update(follower, watcher);
    applyChanges(watcher, { tombstone("e0", 15) }, 15);
    store_mirror restarted;
    applyUpdate(restarted, deletionHistoryOf(watcher));
    CHECK_FALSE(restarted.listed);
    applyList(restarted, { object("e1", 6), object("e2", 18) }, 20);
    CHECK(existingKeys(restarted) == std::set<std::string> { "e1", "e2" });
    CHECK(updateSince(restarted, follower.completeRevision).scope == update_scope::Changes);
    update(follower, restarted);
    CHECK(existingKeys(follower) == std::set<std::string> { "e1", "e2" });
}

TEST_CASE("mirror: when tombstones were dropped, the whole state is sent, so that no deleted object remains")
{
    store_mirror watcher;
    std::vector<keyed_object> all;
    for (std::uint64_t i = 1; i <= 20; ++i)
        all.push_back(object("e" + std::to_string(i), i));
    applyList(watcher, all, 20);
    store_mirror late;
    update(late, watcher);
    for (std::uint64_t i = 1; i <= 15; ++i)
        applyChanges(watcher, { tombstone("e" + std::to_string(i), 20 + i) }, 20 + i);
    CHECK(pruneTombstones(watcher, 5) == 10);
    CHECK(pruneTombstones(watcher, 5) == 0);
    CHECK(updateSince(watcher, late.completeRevision).scope == update_scope::Whole);
    CHECK(updateSince(watcher, 30).scope == update_scope::Changes);
    update(late, watcher);
    CHECK(existingKeys(late) == existingKeys(watcher));
}

/** The store of the model test below. */
struct model_store {
    store_mirror content; ///< Every object and tombstone that ever existed; always complete.
};

/**
 * Simulates writes, watches, restarts, lists, updates between VMs and dropped tombstones in the order of @p steps. After each step every listed
 * mirror must agree with the store on all objects up to its complete revision.
 * @param steps kind of each step, and a random number for its details.
 * @return a description of the first disagreement; empty if there is none.
 */
static std::string simulateMirrors(const std::vector<std::pair<unsigned, unsigned>>& steps)
{
    static constexpr unsigned Vms = 4;
    model_store store;
    store.content.listed = true;
    std::array<store_mirror, Vms> vms;
    const auto list = [&](store_mirror& copy) {
        auto wholeState = updateSince(store.content, 0);
        std::erase_if(wholeState.objects, [](const auto& item) { return item.object.deleted; });
        applyList(copy, wholeState.objects, store.content.completeRevision);
    };
    for (const auto& [kind, random] : steps) {
        auto& target = vms[random % Vms];
        auto& source = vms[(random / Vms) % Vms];
        const auto key = "e" + std::to_string((random / 16) % 6);
        const auto next = store.content.completeRevision + 1;
        switch (kind % 8) {
        case 0:
        case 1: // A write.
            applyChanges(store.content, { object(key, next) }, next);
            break;
        case 2: // A deletion.
            if (store.content.held.objects.count(key) > 0 && !store.content.held.objects[key].deleted)
                applyChanges(store.content, { tombstone(key, next) }, next);
            break;
        case 3: // A watch, or a list by a VM that is not listed yet.
            if (target.listed)
                applyChanges(target, updateSince(store.content, target.completeRevision).objects, store.content.completeRevision);
            else
                list(target);
            break;
        case 4: // A restart; the VM may get the history of another one first.
            target = {};
            if (random % 3 == 0 && &target != &source)
                applyUpdate(target, deletionHistoryOf(source));
            break;
        case 5: // A list.
            list(target);
            break;
        case 6: // An update from another VM.
            if (&target != &source)
                update(target, source);
            break;
        default: // Old tombstones are dropped.
            pruneTombstones(target, random % 3);
        }
        for (const auto& vm : vms) {
            if (!vm.listed)
                continue;
            for (const auto& [name, held] : store.content.held.objects) {
                const bool isHeld = vm.held.objects.count(name) > 0 && !vm.held.objects.at(name).deleted;
                if (held.version <= vm.completeRevision && isHeld == held.deleted)
                    return name + (isHeld ? " is held but was deleted at revision " : " is missing, changed at revision ") + std::to_string(held.version) + ", on a VM that is complete up to revision " + std::to_string(vm.completeRevision);
            }
        }
    }
    return {};
}

TEST_CASE("mirror: a listed mirror holds exactly the existing objects, whatever the order of writes, restarts, lists and updates")
{
    const bool held = rc::check([](const std::vector<std::pair<unsigned, unsigned>>& steps) { RC_ASSERT(simulateMirrors(steps) == ""); });
    CHECK(held);
    std::uint64_t state = 20261204;
    for (int run = 0; run < 300; ++run) {
        std::vector<std::pair<unsigned, unsigned>> steps;
        for (int i = 0; i < 120; ++i) {
            state = state * 6364136223846793005ULL + 1442695040888963407ULL;
            steps.emplace_back(static_cast<unsigned>(state >> 40U), static_cast<unsigned>(state >> 20U) & 0xfffffU);
        }
        const auto disagreement = simulateMirrors(steps);
        INFO("run " << run << ", seed 20261204: " << disagreement);
        REQUIRE(disagreement.empty());
    }
}
