/** @file http_store.h The store over HTTP with ETag, If-Match and a long-poll watch. */
#pragma once

#include "core/outcome.h"
#include "net/http_type.h"
#include "store/store_type.h"
#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace lhub {

/**
 * Connects lazily to the store at @p address, "IP:port".
 * @param callTimeout longest time of a call, without the wait of a Watch.
 * @return the client, or why the address cannot be used.
 */
outcome<std::unique_ptr<store_client>> makeHttpStore(
    const boost::asio::any_io_executor& executor, const std::string& address, milliseconds callTimeout);

/**
 * How a call over HTTP ended, without what it brought. Thread safe.
 * @param resultOf the meaning of a status in the store's protocol.
 */
store_reply replyOf(const http_reply& answer, store_result (*resultOf)(http::status));

} // namespace lhub
