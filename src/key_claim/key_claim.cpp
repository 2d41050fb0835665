/** @file key_claim.cpp Claims of idempotency keys in the object store: at most one request can own a key. */
#include "key_claim/key_claim_func.h"

#include "core/hash.h"
#include "core/json_fields.h"

namespace lhub {

/** 32 hexadecimal digits: two 64-bit hashes of the key with different seeds. */
static std::string keyDigest(const std::string& key)
{
    constexpr std::uint64_t SecondSeed = 0x9e3779b97f4a7c15;
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const auto hash : { stableHash(key), stableHash(key, SecondSeed) }) {
        for (int shift = 60; shift >= 0; shift -= 4)
            text += Digits[(hash >> shift) & 0xf];
    }
    return text;
}

std::string claimObjectKey(const std::string& service, const std::string& key)
{
    return "claim/" + service + "/" + keyDigest(key);
}

store_request makeClaim(const std::string& service, const std::string& key, const std::string& requestId)
{
    const json::value value = { { "key", key }, { "request", requestId } };
    return { store_operation::Put, claimObjectKey(service, key), json::serialize(value), 0, 0, milliseconds(0) };
}

store_request makeUnclaim(const std::string& service, const std::string& key, std::uint64_t version)
{
    return { store_operation::Remove, claimObjectKey(service, key), {}, version, 0, milliseconds(0) };
}

std::optional<claim_reply> interpretClaimReply(const store_reply& reply)
{
    if (reply.result == store_result::Done)
        return claim_reply { claim_result::First, reply.object.version, {} };
    if (reply.result == store_result::Refused)
        return claim_reply { claim_result::Unknown, 0, {} };
    return std::nullopt;
}

claim_reply interpretReadBack(const store_reply& reply, const std::string& requestId)
{
    if (reply.result != store_result::Done)
        return { claim_result::Unknown, 0, {} };
    const auto parsed = parseJson(reply.object.value);
    const auto* document = parsed ? parsed.value->if_object() : nullptr;
    const auto* holder = document ? document->if_contains("request") : nullptr;
    if (!holder || !holder->is_string())
        return { claim_result::Repeated, 0, "(unreadable)" };
    std::string claimant(holder->get_string());
    if (claimant == requestId)
        return { claim_result::First, reply.object.version, {} };
    return { claim_result::Repeated, 0, std::move(claimant) };
}

void claimInStore(store_client& store, const std::string& service, const std::string& key,
    const std::string& requestId, std::function<void(claim_reply)> done)
{
    const auto claim = makeClaim(service, key, requestId);
    store.call(claim, [&store, requestId, objectKey = claim.key, done = std::move(done)](const store_reply& reply) {
        if (auto result = interpretClaimReply(reply)) {
            done(std::move(*result));
            return;
        }
        store_request readBack;
        readBack.key = objectKey;
        store.call(readBack, [requestId, done](const store_reply& stored) { done(interpretReadBack(stored, requestId)); });
    });
}

} // namespace lhub
