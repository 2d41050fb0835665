/** @file memory_store.h A fake of the store in memory for tests: replies at once, with faults on demand. */
#pragma once

#include "config/config_func.h"
#include "store/store_type.h"

namespace lhub {

/** A fake store. Callbacks run inside call(). */
struct memory_store final : store_client {
    config_state state; ///< Objects by their key with its prefix.
    bool down = false; ///< Refuses every call.
    int loseReplies = 0; ///< How many of the next writes are executed but get the reply Unknown.
    int readsToFail = 0; ///< How many of the next reads get the reply Refused.
    int writes = 0; ///< Executed writes: puts and deletes.
    std::function<void()> beforeWrite; ///< Called once, before the next write; imitates another operator.

    void call(const store_request& request, store_callback done) override
    {
        if (down) {
            done({ store_result::Refused, {}, 0, {}, "down" });
            return;
        }
        if (request.operation == store_operation::Get || request.operation == store_operation::Watch) {
            done(read(request));
            return;
        }
        if (const auto other = std::exchange(beforeWrite, nullptr))
            other();
        auto reply = write(request);
        if (reply.result == store_result::Done && loseReplies > 0) {
            --loseReplies;
            reply = { store_result::Unknown, {}, 0, {}, "reply lost" };
        }
        done(std::move(reply));
    }

    store_reply read(const store_request& request)
    {
        if (readsToFail > 0) {
            --readsToFail;
            return { store_result::Refused, {}, 0, {}, "read failed" };
        }
        store_reply reply;
        reply.result = store_result::Done;
        reply.revision = state.revision;
        if (request.operation == store_operation::Watch) {
            reply.objects = objectsSince(state, request.since);
            return reply;
        }
        reply.object = present(request.key);
        if (reply.object.version == 0 || reply.object.deleted)
            reply.result = store_result::Missing;
        return reply;
    }

    store_reply write(const store_request& request)
    {
        const auto before = present(request.key);
        const auto version = before.deleted ? 0 : before.version;
        if (version != request.expectedVersion)
            return { store_result::Conflict, before, 0, {}, "another version is present" };
        const bool removal = request.operation == store_operation::Remove;
        ++writes;
        auto& object = state.objects[request.key];
        object = { ++state.revision, removal, removal ? std::string() : request.value };
        return { store_result::Done, object, 0, {}, {} };
    }

    config_object present(const std::string& key) const
    {
        const auto found = state.objects.find(key);
        return found == state.objects.end() ? config_object {} : found->second;
    }
};

} // namespace lhub
