/** @file http_store.cpp Client of a store over HTTP. */
#include "store/http_store.h"

#include "core/json_fields.h"
#include "net/http_func.h"

namespace lhub {

namespace {

    struct http_store final : store_client {
        http_store(const asio::any_io_executor& executor, tcp::endpoint address, milliseconds callTimeout)
            : executor(executor)
            , address(std::move(address))
            , callTimeout(callTimeout)
        {
        }

        void call(const store_request& request, store_callback done) override;

        asio::any_io_executor executor; ///< Runs the callbacks.
        tcp::endpoint address; ///< Address of the store.
        milliseconds callTimeout; ///< Timeout of a call; the wait of a Watch is added to it.
    };

} // namespace

static std::string quotedVersion(std::uint64_t version)
{
    std::string text("\"");
    text += std::to_string(version);
    text += '"';
    return text;
}

/** The HTTP request of a call. */
static http_request encodeCall(const store_request& request)
{
    http_request result;
    result.version(11);
    const auto objectTarget = "/v1/objects/" + request.key;
    switch (request.operation) {
    case store_operation::Get:
        result.method(http::verb::get);
        result.target(objectTarget);
        break;
    case store_operation::Put:
        result.method(http::verb::put);
        result.target(objectTarget);
        result.body() = request.value;
        break;
    case store_operation::Remove:
        result.method(http::verb::delete_);
        result.target(objectTarget);
        break;
    case store_operation::Watch:
        result.method(http::verb::get);
        result.target("/v1/watch?prefix=" + request.key + "&since=" + std::to_string(request.since)
            + "&wait_ms=" + std::to_string(request.wait.count()));
        break;
    }
    if (request.operation == store_operation::Put && request.expectedVersion == 0)
        result.set(http::field::if_none_match, "*");
    else if (request.operation == store_operation::Put || request.operation == store_operation::Remove)
        result.set(http::field::if_match, quotedVersion(request.expectedVersion));
    return result;
}

/** Version in the ETag of a response; 0 when there is none. */
static std::uint64_t etagVersion(const http_response& response)
{
    const std::string tag(response[http::field::etag]);
    if (tag.size() < 3)
        return 0;
    return std::strtoull(tag.c_str() + 1, nullptr, 10);
}

/** Reads the body of the response to a Watch into @p reply; false when it is malformed. */
static bool decodeWatch(const std::string& body, store_reply& reply)
{
    const auto parsed = parseJson(body);
    if (!parsed || !parsed.value->is_object())
        return false;
    try {
        const auto& document = parsed.value->get_object();
        reply.revision = document.at("revision").to_number<std::uint64_t>();
        for (const auto& item : document.at("objects").as_array()) {
            const auto& object = item.as_object();
            reply.objects.push_back({ json::value_to<std::string>(object.at("key")),
                { object.at("version").to_number<std::uint64_t>(), object.at("deleted").as_bool(),
                    json::value_to<std::string>(object.at("value")) } });
        }
    } catch (const std::exception&) {
        return false;
    }
    return true;
}

/** Meaning of a response's status. */
static store_result resultOf(http::status status)
{
    switch (status) {
    case http::status::ok:
    case http::status::created:
        return store_result::Done;
    case http::status::precondition_failed:
        return store_result::Conflict;
    case http::status::not_found:
        return store_result::Missing;
    case http::status::service_unavailable:
    case http::status::bad_request:
    case http::status::too_many_requests:
        return store_result::Refused;
    default:
        return store_result::Unknown;
    }
}

store_reply toStoreReply(const http_call_result& httpReply, store_result (*resultOf)(http::status))
{
    store_reply reply;
    reply.reason = httpReply.reason;
    if (httpReply.result != http_result::ResponseReceived) {
        reply.result = httpReply.result == http_result::NotSent ? store_result::Refused : store_result::Unknown;
        return reply;
    }
    reply.result = resultOf(httpReply.response.result());
    if (reply.result != store_result::Done)
        reply.reason = "store answered " + std::to_string(httpReply.response.result_int());
    return reply;
}

static store_reply decodeReply(const store_request& request, const http_call_result& httpReply)
{
    auto reply = toStoreReply(httpReply, resultOf);
    if (httpReply.result != http_result::ResponseReceived)
        return reply;
    reply.object.version = etagVersion(httpReply.response);
    reply.object.value = httpReply.response.body();
    if (request.operation != store_operation::Watch || reply.result != store_result::Done)
        return reply;
    if (!decodeWatch(httpReply.response.body(), reply))
        return { store_result::Unknown, {}, 0, {}, "the store's watch answer is malformed" };
    return reply;
}

void http_store::call(const store_request& request, store_callback done)
{
    auto sendCall = [](tcp::endpoint to, store_request sent, milliseconds timeout,
                        store_callback callback) -> asio::awaitable<void> {
        const auto httpReply = co_await httpCall(std::move(to), encodeCall(sent), timeout + sent.wait);
        callback(decodeReply(sent, httpReply));
    };
    asio::co_spawn(executor, sendCall(address, request, request.timeout.value_or(callTimeout), std::move(done)), asio::detached);
}

outcome<std::unique_ptr<store_client>> makeHttpStore(
    const asio::any_io_executor& executor, const std::string& address, milliseconds callTimeout)
{
    auto endpoint = parseAddress(address);
    if (!endpoint)
        return failure<std::unique_ptr<store_client>>(endpoint.reason);
    std::unique_ptr<store_client> client = std::make_unique<http_store>(executor, *endpoint, callTimeout);
    return success(std::move(client));
}

} // namespace lhub
