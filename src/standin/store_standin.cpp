/** @file store_standin.cpp Protocol of the test store: conditional writes with ETags, watches by long poll, injected faults. */
#include "standin/store_standin.h"

#include "config/config_func.h"
#include "core/json_fields.h"

namespace lhub {

constexpr std::string_view ObjectPrefix = "/v1/objects/";
constexpr milliseconds WatchPollInterval { 5 }; ///< Between two checks for changes during a watch.

static asio::awaitable<void> sleepFor(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

/** Whether If-None-Match or If-Match of the request allows the write; without either it is refused. */
static bool conditionHolds(const http_request& request, const config_object* current)
{
    const bool exists = current && !current->deleted;
    if (request[http::field::if_none_match] == "*")
        return !exists;
    const std::string expectedTag(request[http::field::if_match]);
    return exists && expectedTag == "\"" + std::to_string(current->version) + "\"";
}

http::status writeObject(
    store_standin& store, const std::string& key, const config_object& next, const http_request& request)
{
    const auto found = store.state.objects.find(key);
    const auto* current = found == store.state.objects.end() ? nullptr : &found->second;
    if (!conditionHolds(request, current))
        return http::status::precondition_failed;
    auto& object = store.state.objects[key];
    object = next;
    object.version = ++store.state.revision;
    return http::status::ok;
}

/** Response with the current object and its version as ETag; a problem document when the object does not exist. */
static http_response makeObjectResponse(const store_standin& store, const std::string& key, http::status status)
{
    const auto found = store.state.objects.find(key);
    if (found == store.state.objects.end() || found->second.deleted) {
        const auto errorStatus = status == http::status::ok ? http::status::not_found : status;
        return makeProblem(errorStatus, "missing", "no object " + key);
    }
    auto response = makeResponse(status, found->second.value);
    response.set(http::field::etag, "\"" + std::to_string(found->second.version) + "\"");
    return response;
}

/** Response to a delete, with the revision of the deletion as ETag. */
static http_response makeDeleteResponse(const store_standin& store)
{
    auto response = makeResponse(http::status::ok, "");
    response.set(http::field::etag, "\"" + std::to_string(store.state.revision) + "\"");
    return response;
}

/** Objects with keys that begin with @p prefix and changed after revision @p since, for the response to a watch. */
static json::array changedObjects(const store_standin& store, const std::string& prefix, std::uint64_t since)
{
    json::array result;
    for (const auto& item : objectsSince(store.state, since)) {
        if (item.key.rfind(prefix, 0) != 0)
            continue;
        result.push_back({ { "key", item.key }, { "version", item.object.version },
            { "deleted", item.object.deleted }, { "value", item.object.value } });
    }
    return result;
}

/** Responds as soon as an object of the prefix has changed, or after wait_ms. */
static asio::awaitable<http_response> handleWatch(const std::shared_ptr<store_standin>& store, std::string target)
{
    auto query = queryOf(target);
    const auto since = std::strtoull(query["since"].c_str(), nullptr, 10);
    milliseconds timeLeft(std::strtoll(query["wait_ms"].c_str(), nullptr, 10));
    auto changed = changedObjects(*store, query["prefix"], since);
    auto seenRevision = store->state.revision;
    while (changed.empty() && timeLeft.count() > 0 && !store->faults.down) {
        co_await sleepFor(WatchPollInterval);
        timeLeft -= WatchPollInterval;
        if (store->state.revision == seenRevision)
            continue;
        seenRevision = store->state.revision;
        changed = changedObjects(*store, query["prefix"], since);
    }
    if (store->faults.down)
        co_return makeProblem(http::status::service_unavailable, "down", "the store is down");
    const json::value body = { { "revision", seenRevision }, { "objects", std::move(changed) } };
    co_return makeResponse(http::status::ok, json::serialize(body));
}

/** Sets the faults that a POST lists; returns all faults and counts. */
static http_response handleControlCall(store_standin& store, const http_request& request)
{
    static const std::vector<json_field<store_faults>> Table {
        flagField("down", &store_faults::down),
        numberField("delay_ms", &store_faults::delayMs, 0U, 600'000U, false),
        numberField("lose_replies", &store_faults::loseReplies, 0U, 1'000'000U, false),
    };
    if (request.method() == http::verb::post) {
        const auto parsed = parseJson(request.body());
        if (!parsed)
            return makeProblem(http::status::bad_request, "bad control", parsed.reason);
        const auto faults = readFields(Table, *parsed, store.faults);
        if (!faults.empty())
            return makeProblem(http::status::bad_request, "bad control", faults[0].field);
    }
    auto body = writeFields(Table, store.faults);
    body["reads"] = store.counts.reads;
    body["writes"] = store.counts.writes;
    body["watches"] = store.counts.watches;
    body["revision"] = store.state.revision;
    return makeResponse(http::status::ok, json::serialize(body));
}

static http_response handleWrite(store_standin& store, const std::string& key, const http_request& request)
{
    ++store.counts.writes;
    const bool isDelete = request.method() == http::verb::delete_;
    const config_object next { 0, isDelete, isDelete ? std::string() : request.body() };
    const auto status = writeObject(store, key, next, request);
    if (status == http::status::ok && isDelete)
        return makeDeleteResponse(store);
    return makeObjectResponse(store, key, status);
}

/** Handles one call. */
static asio::awaitable<http_response> handleStoreCall(const std::shared_ptr<store_standin>& store, const http_request& request)
{
    const std::string path = pathOf(std::string_view(request.target().data(), request.target().size()));
    if (path == "/v1/control")
        co_return handleControlCall(*store, request);
    if (store->faults.delayMs > 0)
        co_await sleepFor(milliseconds(store->faults.delayMs));
    if (store->faults.down)
        co_return makeProblem(http::status::service_unavailable, "down", "the store is down");
    if (path == "/v1/watch") {
        ++store->counts.watches;
        co_return co_await handleWatch(store, std::string(request.target()));
    }
    if (path.rfind(ObjectPrefix, 0) != 0)
        co_return makeProblem(http::status::bad_request, "bad path", path);
    const auto key = path.substr(ObjectPrefix.size());
    if (request.method() == http::verb::get) {
        ++store->counts.reads;
        co_return makeObjectResponse(*store, key, http::status::ok);
    }
    auto response = handleWrite(*store, key, request);
    if (response.result() == http::status::ok && store->faults.loseReplies > 0) {
        --store->faults.loseReplies;
        co_return makeProblem(http::status::gateway_timeout, "lost", "the reply of this write was lost");
    }
    co_return response;
}

http_handler makeStoreHandler(const std::shared_ptr<store_standin>& store)
{
    return [store](const http_request& request) { return handleStoreCall(store, request); };
}

} // namespace lhub
