/** @file load_func.h Running load and describing its result. */
#pragma once

#include "core/json_fields.h"
#include "load/load_type.h"
#include "net/http_type.h"

namespace lhub {

/** Table of the fields of a stream. Thread safe. */
const std::vector<json_field<load_stream>>& streamFields();

/** Runs the plan on @p context until every request has ended; a result for each stream. */
std::vector<load_result> runLoad(asio::io_context& context, const load_plan& plan);

/** The result of one stream as JSON. Thread safe. */
json::object describeResult(const load_stream& stream, const load_result& result);

} // namespace lhub
