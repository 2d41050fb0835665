/** @file entry_calls.cpp gRPC calls of lhub-entry to other entry VMs and to the agent of its VM. */
#include "shell/entry_shell.h"
#include "shell/peer_messages.h"

#include <algorithm>

namespace lhub {

constexpr milliseconds PeerTimeout { 1000 }; // calls to VMs of this zone
constexpr milliseconds RemoteTimeout { 1500 }; // calls to VMs of any zone, and to the agent
constexpr milliseconds AcquireTimeoutMargin { 200 }; // an Acquire times out this long after its request's deadline

/**
 * Calls a method of the Peer service at @p address. When the connection is refused and @p vm is not empty, peer_refused
 * is raised first.
 */
template <typename Request, typename Reply, typename Method>
static void callVm(entry_shell& shell, const std::string& vm, const std::string& address, Request request,
    milliseconds timeout, Method method, std::function<void(bool, const Reply&)> done)
{
    auto stub = std::make_shared<rpc::Peer::Stub>(channelTo(shell.channels, address));
    callRpc<Request, Reply>(
        shell.context.get_executor(), std::move(request), timeout,
        [stub, method](auto* context, auto* message, auto* reply, auto finish) {
            (stub->async()->*method)(context, message, reply, std::move(finish));
        },
        [&shell, vm, stub, done = std::move(done)](const grpc::Status& status, const Reply& reply) {
            if (isRefused(status) && !vm.empty())
                feedEvent(shell, peer_refused { vm });
            done(status.ok(), reply);
        });
}

/** Pointer to a unary method with callback of the asynchronous Peer stub; it selects one of the overloads. */
template <typename Request, typename Reply>
using stub_method = void (rpc::Peer::StubInterface::async_interface::*)(
    grpc::ClientContext*, const Request*, Reply*, std::function<void(grpc::Status)>);

static void callHeartbeat(entry_shell& shell, const send_heartbeat& effect)
{
    rpc::HeartbeatRequest request;
    encodeOwnState(shell.state, request);
    request.set_address(shell.settings.peer);
    const auto sentAt = shell.clock.now();
    const stub_method<rpc::HeartbeatRequest, rpc::HeartbeatReply> method
        = &rpc::Peer::StubInterface::async_interface::Heartbeat;
    callVm<rpc::HeartbeatRequest, rpc::HeartbeatReply>(shell, effect.vm, effect.address, std::move(request),
        PeerTimeout, method, [&shell, sentAt](bool ok, const rpc::HeartbeatReply& reply) {
            if (!ok)
                return;
            feedEvent(shell, heartbeat_answered { decodePeerState(reply), sentAt });
        });
}

static rpc::AcquireRequest encodeAcquire(const entry_shell& shell, const send_acquire& effect)
{
    rpc::AcquireRequest request;
    request.set_service(effect.service);
    request.set_request_id(effect.request.requestId);
    request.set_vm(effect.request.vm);
    const auto left = elapsed(shell.clock.now(), effect.request.deadline);
    request.set_deadline_ms(static_cast<std::uint32_t>(left.count()));
    request.set_weight(effect.request.weight);
    for (const auto& name : effect.request.avoid)
        request.add_avoid(name);
    request.set_source_zone(effect.request.sourceZone);
    request.set_may_move(effect.request.mayMove);
    return request;
}

static void callAcquire(entry_shell& shell, const send_acquire& effect)
{
    auto request = encodeAcquire(shell, effect);
    const milliseconds timeout = milliseconds(request.deadline_ms()) + AcquireTimeoutMargin;
    const stub_method<rpc::AcquireRequest, rpc::AcquireReply> method
        = &rpc::Peer::StubInterface::async_interface::Acquire;
    callVm<rpc::AcquireRequest, rpc::AcquireReply>(shell, effect.vm, effect.address, std::move(request), timeout,
        method,
        [&shell, service = effect.service, vm = effect.vm, id = effect.request.callId](
            bool ok, const rpc::AcquireReply& reply) {
            acquire_answered event { service, vm, ok, {} };
            event.answer = { id, static_cast<acquire_result>(reply.result()), reply.endpoint(), reply.address(),
                reply.reservation(), reply.reason() };
            feedEvent(shell, std::move(event));
        });
}

static void callRelease(entry_shell& shell, const send_release& effect)
{
    rpc::ReleaseRequest request;
    request.set_service(effect.release.service);
    request.set_endpoint(effect.release.endpoint);
    request.set_reservation(effect.release.reservation);
    request.set_outcome(static_cast<std::uint32_t>(effect.release.ended));
    request.set_vm(effect.release.vm);
    request.set_endpoint_leaving(effect.release.endpointLeaving);
    const stub_method<rpc::ReleaseRequest, rpc::ReleaseReply> method
        = &rpc::Peer::StubInterface::async_interface::Release;
    callVm<rpc::ReleaseRequest, rpc::ReleaseReply>(shell, effect.vm, effect.address, std::move(request), PeerTimeout,
        method, [&shell, id = effect.release.reservation](bool ok, const rpc::ReleaseReply&) {
            feedEvent(shell, release_answered { id, ok });
        });
}

template <typename Rows>
static std::vector<reservation_row> decodeReservations(const Rows& rows)
{
    std::vector<reservation_row> result;
    for (const auto& row : rows)
        result.push_back({ row.id(), row.endpoint(), row.vm(), milliseconds(row.left_ms()) });
    return result;
}

static void callTakeOver(entry_shell& shell, const send_take_over& effect)
{
    rpc::TakeOverRequest request;
    request.set_service(effect.service);
    request.set_vm(shell.state.vm);
    const stub_method<rpc::TakeOverRequest, rpc::TakeOverReply> method
        = &rpc::Peer::StubInterface::async_interface::TakeOver;
    callVm<rpc::TakeOverRequest, rpc::TakeOverReply>(shell, effect.vm, effect.address, std::move(request),
        PeerTimeout, method,
        [&shell, service = effect.service, vm = effect.vm](bool ok, const rpc::TakeOverReply& reply) {
            feedEvent(shell,
                take_over_answered { service, vm, ok && reply.handed_over(), reply.epoch(),
                    decodeReservations(reply.reservations()) });
        });
}

static void callHeld(entry_shell& shell, const send_held& effect)
{
    rpc::HeldRequest request;
    request.set_service(effect.service);
    const stub_method<rpc::HeldRequest, rpc::HeldReply> method = &rpc::Peer::StubInterface::async_interface::Held;
    callVm<rpc::HeldRequest, rpc::HeldReply>(shell, effect.vm, effect.address, std::move(request), PeerTimeout,
        method, [&shell, service = effect.service, vm = effect.vm](bool ok, const rpc::HeldReply& reply) {
            if (ok)
                feedEvent(shell, held_answered { service, vm, decodeReservations(reply.reservations()) });
        });
}

static void callCredit(entry_shell& shell, const send_credit& effect)
{
    rpc::CreditRequest request;
    request.set_service(effect.service);
    request.set_source_zone(shell.state.zone);
    request.set_wanted(effect.wanted);
    const auto sentAt = shell.clock.now();
    const stub_method<rpc::CreditRequest, rpc::CreditReply> method
        = &rpc::Peer::StubInterface::async_interface::Credit;
    callVm<rpc::CreditRequest, rpc::CreditReply>(shell, {}, effect.address, std::move(request), RemoteTimeout,
        method,
        [&shell, service = effect.service, zone = effect.zone, sentAt](bool ok, const rpc::CreditReply& reply) {
            feedEvent(shell,
                credit_answered { service, zone, ok && reply.owner(), reply.granted(),
                    milliseconds(reply.valid_ms()), sentAt });
        });
}

static void callLend(entry_shell& shell, const send_lend& effect)
{
    rpc::LendRequest request;
    request.set_service(effect.request.service);
    request.set_shift(effect.request.shift);
    request.set_zone(effect.request.zone);
    request.set_wanted(effect.request.wanted);
    request.set_cap_per_second(effect.request.capPerSecond);
    const auto sentAt = shell.clock.now();
    const stub_method<rpc::LendRequest, rpc::LendReply> method = &rpc::Peer::StubInterface::async_interface::Lend;
    callVm<rpc::LendRequest, rpc::LendReply>(shell, {}, effect.address, std::move(request), RemoteTimeout, method,
        [&shell, loanRequest = effect.request, lender = effect.lender, sentAt](bool ok, const rpc::LendReply& reply) {
            feedEvent(shell,
                lend_answered { loanRequest.service, loanRequest.shift, lender, ok && reply.owner(), reply.granted(),
                    milliseconds(reply.valid_ms()), loanRequest.capPerSecond, sentAt });
        });
}

/** Pointer to a unary method with callback of the asynchronous Agent stub; it selects one of the overloads. */
template <typename Request, typename Reply>
using agent_method = void (rpc::Agent::StubInterface::async_interface::*)(
    grpc::ClientContext*, const Request*, Reply*, std::function<void(grpc::Status)>);

/** Calls a method of the agent of this VM. */
template <typename Request, typename Reply>
static void callAgent(entry_shell& shell, Request request, agent_method<Request, Reply> method,
    std::function<void(bool, const Reply&)> done)
{
    auto stub = std::make_shared<rpc::Agent::Stub>(channelTo(shell.channels, shell.settings.agent));
    callRpc<Request, Reply>(
        shell.context.get_executor(), std::move(request), RemoteTimeout,
        [stub, method](auto* context, auto* message, auto* reply, auto finish) {
            (stub->async()->*method)(context, message, reply, std::move(finish));
        },
        [stub, done = std::move(done)](const grpc::Status& status, const Reply& reply) { done(status.ok(), reply); });
}

static void callClaim(entry_shell& shell, const send_claim& effect)
{
    rpc::ClaimRequest request;
    request.set_service(effect.service);
    request.set_key(effect.key);
    request.set_request_id(effect.requestId);
    callAgent<rpc::ClaimRequest, rpc::ClaimReply>(shell, std::move(request),
        &rpc::Agent::StubInterface::async_interface::Claim,
        [&shell, id = effect.id](bool ok, const rpc::ClaimReply& reply) {
            const auto result = ok ? static_cast<claim_result>(reply.result()) : claim_result::Unknown;
            feedEvent(shell, claim_answered { id, result, reply.version(), verdict::MayHaveRun });
        });
}

static void callUnclaim(entry_shell& shell, const send_unclaim& effect)
{
    rpc::UnclaimRequest request;
    request.set_service(effect.service);
    request.set_key(effect.key);
    request.set_version(effect.version);
    callAgent<rpc::UnclaimRequest, rpc::UnclaimReply>(shell, std::move(request),
        &rpc::Agent::StubInterface::async_interface::Unclaim, [](bool, const rpc::UnclaimReply&) {});
}

static void callKeyClaim(entry_shell& shell, const send_key_claim& effect)
{
    rpc::ClaimKeyRequest request;
    request.set_key(effect.key);
    request.set_request_id(effect.requestId);
    const stub_method<rpc::ClaimKeyRequest, rpc::ClaimKeyReply> method
        = &rpc::Peer::StubInterface::async_interface::ClaimKey;
    callVm<rpc::ClaimKeyRequest, rpc::ClaimKeyReply>(shell, {}, effect.address, std::move(request), RemoteTimeout,
        method, [&shell, id = effect.id](bool ok, const rpc::ClaimKeyReply& reply) {
            const auto result = ok ? static_cast<claim_result>(reply.result()) : claim_result::Unknown;
            feedEvent(shell, claim_answered { id, result, 0, static_cast<verdict>(reply.verdict()) });
        });
}

static void callKeySettled(entry_shell& shell, const send_key_settled& effect)
{
    rpc::SettleKeyRequest request;
    request.set_key(effect.settled.key);
    request.set_request_id(effect.settled.requestId);
    request.set_verdict(static_cast<std::uint32_t>(effect.settled.known));
    const stub_method<rpc::SettleKeyRequest, rpc::SettleKeyReply> method
        = &rpc::Peer::StubInterface::async_interface::SettleKey;
    callVm<rpc::SettleKeyRequest, rpc::SettleKeyReply>(shell, {}, effect.address, std::move(request), RemoteTimeout,
        method, [](bool, const rpc::SettleKeyReply&) {});
}

namespace {

    /** Makes the call that an effect asks for; effects that are no calls are ignored. */
    struct call_visitor {
        entry_shell& shell; ///< State of the process.

        void operator()(const send_heartbeat& effect) const { callHeartbeat(shell, effect); }
        void operator()(const send_acquire& effect) const { callAcquire(shell, effect); }
        void operator()(const send_release& effect) const { callRelease(shell, effect); }
        void operator()(const send_take_over& effect) const { callTakeOver(shell, effect); }
        void operator()(const send_held& effect) const { callHeld(shell, effect); }
        void operator()(const send_credit& effect) const { callCredit(shell, effect); }
        void operator()(const send_lend& effect) const { callLend(shell, effect); }
        void operator()(const send_claim& effect) const { callClaim(shell, effect); }
        void operator()(const send_unclaim& effect) const { callUnclaim(shell, effect); }
        void operator()(const send_key_claim& effect) const { callKeyClaim(shell, effect); }
        void operator()(const send_key_settled& effect) const { callKeySettled(shell, effect); }
        template <typename T>
        void operator()(const T&) const { }
    };

} // namespace

void callPeer(entry_shell& shell, const entry_effect& effect) { std::visit(call_visitor { shell }, effect); }

} // namespace lhub
