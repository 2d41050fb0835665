/** @file http_store.h Client of a store over HTTP with ETag, If-Match and watches by long polling. */
#pragma once

#include "core/outcome.h"
#include "net/http_type.h"
#include "store/store_type.h"
#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace lhub {

/**
 * Makes a client of the store at @p address, "IP:port". Each call opens a connection of its own.
 * @param callTimeout timeout of a call; the wait of a Watch is added to it.
 * @return the client, or why the address is not valid.
 */
outcome<std::unique_ptr<store_client>> makeHttpStore(
    const boost::asio::any_io_executor& executor, const std::string& address, milliseconds callTimeout);

/**
 * Result and reason of a call over HTTP, without object, revision and objects. Thread safe.
 * @param resultOf converts a status of the store's protocol.
 */
store_reply toStoreReply(const http_call_result& httpReply, store_result (*resultOf)(http::status));

} // namespace lhub
