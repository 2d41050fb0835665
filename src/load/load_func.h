/** @file load_func.h Runs load against entry VMs and describes the result. */
#pragma once

#include "core/json_fields.h"
#include "load/load_type.h"
#include "net/http_type.h"

namespace lhub {

/** JSON fields of a stream. Thread safe. */
const std::vector<json_field<load_stream>>& streamFields();

/**
 * Runs @p context on the calling thread until every request of the plan has ended. Not thread safe.
 * @return one result for each stream, in the order of the plan.
 */
std::vector<load_result> runLoad(asio::io_context& context, const load_plan& plan);

/** Result of one stream as JSON. Thread safe. */
json::object describeResult(const load_stream& stream, const load_result& result);

} // namespace lhub
