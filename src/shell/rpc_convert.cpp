/** @file rpc_convert.cpp Conversion between configured objects and the messages of the administration API. */
#include "shell/rpc_convert.h"

namespace lhub {

rpc::Service toMessage(const service_config& service)
{
    rpc::Service message;
    message.set_name(service.name);
    message.set_deadline_ms(service.deadlineMs);
    for (const auto& method : service.doubleWeight)
        message.add_double_weight(method);
    message.set_probe_path(service.probePath);
    message.set_objective_permille(service.objectivePermille);
    message.set_latency_ms(service.latencyMs);
    return message;
}

service_config fromMessage(const rpc::Service& message)
{
    service_config service;
    service.name = message.name();
    if (message.deadline_ms() > 0)
        service.deadlineMs = message.deadline_ms();
    service.doubleWeight = { message.double_weight().begin(), message.double_weight().end() };
    if (message.objective_permille() > 0)
        service.objectivePermille = message.objective_permille();
    if (message.latency_ms() > 0)
        service.latencyMs = message.latency_ms();
    if (!message.probe_path().empty())
        service.probePath = message.probe_path();
    return service;
}

rpc::Place toMessage(const place_config& place)
{
    rpc::Place message;
    message.set_zone(place.zone);
    message.set_region(place.region);
    return message;
}

place_config fromMessage(const rpc::Place& message) { return { message.zone(), message.region() }; }

rpc::Endpoint toMessage(const endpoint_config& endpoint)
{
    rpc::Endpoint message;
    message.set_service(endpoint.service);
    message.set_name(endpoint.name);
    message.set_zone(endpoint.zone);
    message.set_address(endpoint.address);
    message.set_slots(endpoint.slots);
    message.set_connections(endpoint.connections);
    return message;
}

endpoint_config fromMessage(const rpc::Endpoint& message)
{
    return { message.service(), message.name(), message.zone(), message.address(), message.slots(),
        message.connections() };
}

rpc::Shift toMessage(const shift_config& shift)
{
    rpc::Shift message;
    message.set_name(shift.name);
    message.set_service(shift.service);
    message.set_from_region(shift.fromRegion);
    message.set_to_region(shift.toRegion);
    message.set_permille(shift.permille);
    message.set_cap_per_second(shift.capPerSecond);
    message.set_state(static_cast<rpc::ShiftState>(shift.status));
    message.set_ramp_s(shift.rampSeconds);
    for (const auto& zone : shift.zones)
        message.add_zones(zone);
    return message;
}

shift_config fromMessage(const rpc::Shift& message)
{
    return { message.name(), message.service(), message.from_region(), message.to_region(), message.permille(),
        message.cap_per_second(), static_cast<shift_status>(message.state()), message.ramp_s(),
        { message.zones().begin(), message.zones().end() } };
}

rpc::Drain toMessage(const drain_config& drain)
{
    rpc::Drain message;
    message.set_name(drain.name);
    message.set_kind(static_cast<rpc::DrainKind>(drain.kind));
    message.set_target(drain.target);
    message.set_planned_start(drain.plannedStart);
    message.set_expected_duration_s(drain.expectedDurationSeconds);
    return message;
}

drain_config fromMessage(const rpc::Drain& message)
{
    return { message.name(), static_cast<drain_kind>(message.kind()), message.target(), message.planned_start(),
        message.expected_duration_s() };
}

change_meta fromMessage(const rpc::ChangeMeta& message)
{
    return { message.who(), message.why(), message.change_id(), message.validate_only(),
        message.expected_version() };
}

rpc::Object toMessage(const keyed_object& item)
{
    rpc::Object message;
    message.set_key(item.key);
    message.set_version(item.object.version);
    message.set_deleted(item.object.deleted);
    message.set_value(item.object.value);
    return message;
}

rpc::ChangeReply toMessage(const std::string& key, const change_reply& reply)
{
    rpc::ChangeReply message;
    message.set_result(static_cast<rpc::ChangeResult>(reply.result));
    message.set_version(reply.version);
    *message.mutable_present() = toMessage(keyed_object { key, reply.present });
    for (const auto& fault : reply.faults) {
        auto* fieldFault = message.add_faults();
        fieldFault->set_field(fault.field);
        fieldFault->set_value(fault.value);
        fieldFault->set_expected(fault.expected);
    }
    message.set_reason(reply.reason);
    return message;
}

} // namespace lhub
