/** @file lhubctl.cpp The program lhubctl: the operator's command line client of the administration API. */
#include "config/config_func.h"
#include "net/http_func.h"
#include "net/rpc_func.h"
#include "programs/program.h"
#include "shell/rpc_convert.h"
#include <iomanip>
#include <lhub.grpc.pb.h>

namespace lhub {

namespace {

    constexpr seconds CallTimeout { 10 }; ///< Of one call of lhub-admin or an entry VM.

    /** Exit code of a change that ended in a conflict or whose result is unknown. */
    constexpr int ExitConflict = 3;

    /** Options of all commands. */
    struct control_options {
        std::string admin = "127.0.0.1:7400"; ///< Address of lhub-admin, IP:port.
        std::string output = "table"; ///< "table" or "json".
        std::string who = "operator"; ///< Name of the operator.
        std::string why; ///< Reason for the change.
        std::string changeId; ///< Id of the change; generated if empty.
        bool validateOnly = false; ///< Validate without writing.
        std::int64_t expect = -1; ///< Version that the change replaces; 0: the object must not exist; -1: the current version.
    };

    /** A connection to lhub-admin. */
    struct control_client {
        control_options options;
        std::unique_ptr<rpc::Admin::Stub> stub;
    };

} // namespace

static std::unique_ptr<grpc::ClientContext> makeContext()
{
    auto context = std::make_unique<grpc::ClientContext>();
    context->set_deadline(std::chrono::system_clock::now() + CallTimeout);
    return context;
}

static std::optional<rpc::ListReply> listObjects(control_client& client, const std::string& prefix)
{
    rpc::ListRequest request;
    request.set_prefix(prefix);
    rpc::ListReply reply;
    const auto status = client.stub->List(makeContext().get(), request, &reply);
    if (status.ok())
        return reply;
    std::cerr << "list: " << status.error_message() << "\n";
    return std::nullopt;
}

/** Generates an id of a change from the time and the process id. */
static std::string makeChangeId()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return "ctl-" + std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(now).count()) + "-"
        + std::to_string(getpid());
}

/** Current version of @p key; 0 if it does not exist, nothing if it cannot be read. */
static std::optional<std::uint64_t> currentVersion(control_client& client, const std::string& key)
{
    const auto list = listObjects(client, key);
    if (!list)
        return std::nullopt;
    for (const auto& object : list->objects()) {
        if (object.key() == key)
            return object.version();
    }
    return 0;
}

/** Sets all fields of @p meta. Returns false if the current version is needed and cannot be read. */
static bool fillMeta(control_client& client, const std::string& key, rpc::ChangeMeta& meta)
{
    const auto& options = client.options;
    meta.set_who(options.who);
    meta.set_why(options.why);
    meta.set_change_id(options.changeId.empty() ? makeChangeId() : options.changeId);
    meta.set_validate_only(options.validateOnly);
    const auto version
        = options.expect >= 0 ? std::optional<std::uint64_t>(options.expect) : currentVersion(client, key);
    if (version)
        meta.set_expected_version(*version);
    return version.has_value();
}

/** Prints the reply to a change and returns the exit code. */
static int printChange(const control_client& client, const std::string& key, const rpc::ChangeReply& reply)
{
    const auto result = static_cast<change_result>(reply.result());
    if (client.options.output == "json") {
        json::array faults;
        for (const auto& fault : reply.faults())
            faults.push_back(
                { { "field", fault.field() }, { "value", fault.value() }, { "expected", fault.expected() } });
        const json::value document = { { "key", key }, { "result", nameOf(ChangeResultNames, result) },
            { "version", reply.version() }, { "reason", reply.reason() }, { "faults", std::move(faults) },
            { "present", reply.present().value() } };
        std::cout << json::serialize(document) << "\n";
    } else {
        std::cout << key << ": " << nameOf(ChangeResultNames, result);
        if (reply.version() > 0)
            std::cout << ", version " << reply.version();
        std::cout << (reply.reason().empty() ? "" : " (" + reply.reason() + ")") << "\n";
        for (const auto& fault : reply.faults())
            std::cout << "  " << fault.field() << ": " << fault.value() << ": expected " << fault.expected() << "\n";
        if (result == change_result::Conflict)
            std::cout << "  present, version " << reply.present().version() << ": " << reply.present().value() << "\n";
    }
    if (result == change_result::Accepted || result == change_result::Valid)
        return ExitDone;
    return result == change_result::Invalid ? ExitBadSettings : ExitConflict;
}

/** Sends one change by @p method and returns the exit code. */
template <typename Request>
static int sendChange(control_client& client, const std::string& key, Request request,
    grpc::Status (rpc::Admin::Stub::*method)(grpc::ClientContext*, const Request&, rpc::ChangeReply*))
{
    if (!fillMeta(client, key, *request.mutable_meta()))
        return ExitFailed;
    rpc::ChangeReply reply;
    const auto status = (client.stub.get()->*method)(makeContext().get(), request, &reply);
    if (status.ok())
        return printChange(client, key, reply);
    std::cerr << key << ": " << status.error_message() << "\n";
    return ExitFailed;
}

static int sendObject(control_client& client, const service_config& service)
{
    rpc::PutServiceRequest request;
    *request.mutable_service() = toMessage(service);
    return sendChange(client, "service/" + service.name, std::move(request), &rpc::Admin::Stub::PutService);
}

static int sendObject(control_client& client, const place_config& place)
{
    rpc::PutPlaceRequest request;
    *request.mutable_place() = toMessage(place);
    return sendChange(client, "place/" + place.zone, std::move(request), &rpc::Admin::Stub::PutPlace);
}

static int sendObject(control_client& client, const endpoint_config& endpoint)
{
    rpc::PutEndpointRequest request;
    *request.mutable_endpoint() = toMessage(endpoint);
    const auto key = std::string("endpoint/").append(endpoint.service).append("/").append(endpoint.name);
    return sendChange(client, key, std::move(request), &rpc::Admin::Stub::PutEndpoint);
}

static int sendObject(control_client& client, const shift_config& shift)
{
    rpc::PutShiftRequest request;
    *request.mutable_shift() = toMessage(shift);
    return sendChange(client, "shift/" + shift.name, std::move(request), &rpc::Admin::Stub::PutShift);
}

static int sendObject(control_client& client, const drain_config& drain)
{
    rpc::PutDrainRequest request;
    *request.mutable_drain() = toMessage(drain);
    return sendChange(client, "drain/" + drain.name, std::move(request), &rpc::Admin::Stub::PutDrain);
}

/** Checks the fields of one object and sends it. */
template <typename T>
static int sendFields(
    control_client& client, const std::string& kind, const json::value& fields, const std::vector<json_field<T>>& table)
{
    T object {};
    const auto faults = readFields(table, fields, object);
    if (faults.empty())
        return sendObject(client, object);
    std::cerr << describeFaults(kind, faults);
    return ExitBadSettings;
}

/** Sends one object of the kind with the given name. */
static int sendObjectOfKind(control_client& client, const std::string& kind, const json::value& fields)
{
    if (kind == "service")
        return sendFields(client, kind, fields, serviceFields());
    if (kind == "place")
        return sendFields(client, kind, fields, placeFields());
    if (kind == "endpoint")
        return sendFields(client, kind, fields, endpointFields());
    if (kind == "shift")
        return sendFields(client, kind, fields, shiftFields());
    if (kind == "drain")
        return sendFields(client, kind, fields, drainFields());
    std::cerr << "kind: " << kind << ": expected service, place, endpoint, shift or drain\n";
    return ExitBadSettings;
}

/** Parses the value of "name=value" as JSON; a text that is not JSON becomes a string. */
static json::value parseValue(const std::string& text)
{
    const auto parsed = parseJson(text);
    return parsed ? *parsed : json::value(text);
}

static int putObject(control_client& client, const std::string& kind, const std::vector<std::string>& pairs)
{
    json::object fields;
    for (const auto& pair : pairs) {
        const auto equals = pair.find('=');
        if (equals == std::string::npos) {
            std::cerr << "argument: " << pair << ": expected NAME=VALUE\n";
            return ExitBadSettings;
        }
        fields[pair.substr(0, equals)] = parseValue(pair.substr(equals + 1));
    }
    return sendObjectOfKind(client, kind, fields);
}

/** Sends the objects of a file, a list of {"kind": {fields}}, until one fails. */
static int applyFile(control_client& client, const std::string& file)
{
    const std::ifstream input(file);
    std::stringstream text;
    text << input.rdbuf();
    const auto parsed = parseJson(text.str());
    if (!parsed || !parsed.value->is_array()) {
        std::cerr << file << ": expected a list of objects; " << parsed.reason << "\n";
        return ExitBadSettings;
    }
    for (const auto& item : parsed.value->get_array()) {
        if (!item.is_object() || item.get_object().size() != 1) {
            std::cerr << file << ": " << json::serialize(item) << ": expected {\"KIND\": {...}}\n";
            return ExitBadSettings;
        }
        const auto& row = *item.get_object().begin();
        const int failed = sendObjectOfKind(client, std::string(row.key()), row.value());
        if (failed != ExitDone)
            return failed;
    }
    return ExitDone;
}

static int removeObject(control_client& client, const std::string& key)
{
    rpc::RemoveRequest request;
    request.set_key(key);
    return sendChange(client, key, std::move(request), &rpc::Admin::Stub::Remove);
}

/** Changes the status of an existing shift. */
static int setShiftStatus(control_client& client, const std::string& name, shift_status status)
{
    const auto list = listObjects(client, "shift/" + name);
    if (!list)
        return ExitFailed;
    config_view view;
    for (const auto& object : list->objects())
        applyObject(view, object.key(), { object.version(), object.deleted(), object.value() });
    const auto found = view.shifts.find(name);
    if (found == view.shifts.end()) {
        std::cerr << "shift: " << name << ": expected a shift that exists\n";
        return ExitBadSettings;
    }
    found->second.status = status;
    return sendObject(client, found->second);
}

static int printList(control_client& client, const std::string& prefix)
{
    const auto list = listObjects(client, prefix);
    if (!list)
        return ExitFailed;
    if (client.options.output == "table")
        std::cout << std::left << std::setw(36) << "KEY" << std::setw(10) << "VERSION"
                  << "VALUE\n";
    json::array rows;
    for (const auto& object : list->objects()) {
        if (client.options.output == "table")
            std::cout << std::setw(36) << object.key() << std::setw(10) << object.version() << object.value() << "\n";
        else
            rows.push_back({ { "key", object.key() }, { "version", object.version() },
                { "value", parseValue(object.value()) } });
    }
    if (client.options.output == "json")
        std::cout << json::serialize(json::value { { "revision", list->revision() }, { "objects", rows } }) << "\n";
    return ExitDone;
}

/** Prints how an entry VM explains the steering of a client's request for a service. */
static int printExplanation(const std::string& entry, const std::string& client, const std::string& service)
{
    const auto endpoint = parseAddress(entry);
    if (!endpoint) {
        std::cerr << "--entry: " << endpoint.reason << "\n";
        return ExitBadSettings;
    }
    asio::io_context context(1);
    http_call_result reply;
    http_request request(http::verb::get, "/v1/explain?service=" + service + "&client=" + client, 11);
    request.keep_alive(false);
    asio::co_spawn(context, httpCall(*endpoint, std::move(request), CallTimeout),
        [&](const std::exception_ptr&, http_call_result answer) { reply = std::move(answer); });
    context.run();
    if (reply.result != http_result::ResponseReceived) {
        std::cerr << reply.reason << "\n";
        return ExitFailed;
    }
    std::cout << reply.response.body();
    return reply.response.result() == http::status::ok ? ExitDone : ExitBadSettings;
}

static void addOptions(CLI::App& app, control_options& options)
{
    app.set_version_flag("--version", LHUB_VERSION);
    app.add_option("--admin", options.admin, "address of lhub-admin, IP:port");
    app.add_option("--output", options.output, "table or json")->check(CLI::IsMember({ "table", "json" }));
    app.add_option("--who", options.who, "operator's name");
    app.add_option("--why", options.why, "reason for the change");
    app.add_option("--change-id", options.changeId, "id of the change; the same id again is the same change");
    app.add_flag("--validate-only", options.validateOnly, "test the change and write nothing");
    app.add_option("--expect", options.expect, "version that must be present; 0: none; default: the present one");
    app.require_subcommand(1);
}

/** Adds the commands and parses the arguments. */
static int runControl(int argc, char** argv)
{
    CLI::App app("operator's command line of laburnumhub");
    control_client client;
    addOptions(app, client.options);
    std::string argument;
    std::vector<std::string> pairs;
    std::function<int()> action;
    auto* put = app.add_subcommand("put", "create or change an object: put KIND NAME=VALUE...");
    put->add_option("kind", argument, "service, place, endpoint, shift or drain")->required();
    put->add_option("fields", pairs, "fields as NAME=VALUE")->required();
    put->callback([&] { action = [&] { return putObject(client, argument, pairs); }; });
    auto* apply = app.add_subcommand("apply", "send every object of a file");
    apply->add_option("file", argument, "list of {\"KIND\": {...}}, JSON with comments")->required();
    apply->callback([&] { action = [&] { return applyFile(client, argument); }; });
    auto* remove = app.add_subcommand("remove", "remove an object; ends a drain");
    remove->add_option("key", argument, "KIND/NAME")->required();
    remove->callback([&] { action = [&] { return removeObject(client, argument); }; });
    auto* list = app.add_subcommand("list", "objects with their versions and history");
    list->add_option("prefix", argument, "first part of the keys");
    list->callback([&] { action = [&] { return printList(client, argument); }; });
    auto* pause = app.add_subcommand("pause-shift", "a shift moves nothing until it is resumed");
    pause->add_option("name", argument, "shift")->required();
    pause->callback([&] { action = [&] { return setShiftStatus(client, argument, shift_status::Paused); }; });
    auto* resume = app.add_subcommand("resume-shift", "a paused shift goes on");
    resume->add_option("name", argument, "shift")->required();
    resume->callback([&] { action = [&] { return setShiftStatus(client, argument, shift_status::Running); }; });
    auto* rollBack = app.add_subcommand("roll-back-shift", "a shift ends; traffic stays where it was before");
    rollBack->add_option("name", argument, "shift")->required();
    rollBack->callback([&] { action = [&] { return setShiftStatus(client, argument, shift_status::RolledBack); }; });
    std::string entry;
    auto* explain = app.add_subcommand("explain", "why a request goes where it goes, in plain sentences");
    explain->add_option("--entry", entry, "an entry VM, IP:port; best one of the client's zone")->required();
    explain->add_option("--client", argument, "the client's IP")->required();
    std::string service;
    explain->add_option("--service", service, "the service")->required();
    explain->callback([&] { action = [&] { return printExplanation(entry, argument, service); }; });
    CLI11_PARSE(app, argc, argv);
    rpc_channels channels;
    client.stub = rpc::Admin::NewStub(channelTo(channels, client.options.admin));
    return action();
}

} // namespace lhub

int main(int argc, char** argv) { return lhub::runControl(argc, argv); }
