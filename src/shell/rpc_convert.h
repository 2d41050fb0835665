/** @file rpc_convert.h Conversion between configured objects and the messages of the administration API. */
#pragma once

#include "admin/command_type.h"
#include <lhub.pb.h>

namespace lhub {

/**
 * Convert objects to messages and back, with all fields. In a Service, 0 or an empty text stands for the default of a
 * field that service_config gives one. Thread safe.
 */
rpc::Service toMessage(const service_config& service);
rpc::Place toMessage(const place_config& place);
rpc::Endpoint toMessage(const endpoint_config& endpoint);
rpc::Shift toMessage(const shift_config& shift);
rpc::Drain toMessage(const drain_config& drain);
service_config fromMessage(const rpc::Service& message);
place_config fromMessage(const rpc::Place& message);
endpoint_config fromMessage(const rpc::Endpoint& message);
shift_config fromMessage(const rpc::Shift& message);
drain_config fromMessage(const rpc::Drain& message);
change_meta fromMessage(const rpc::ChangeMeta& message);
rpc::Object toMessage(const keyed_object& item);
rpc::ChangeReply toMessage(const std::string& key, const change_reply& reply);

} // namespace lhub
