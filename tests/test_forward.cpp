/** @file test_forward.cpp Forwarding over real sockets: every way in which an endpoint can fail a request. */
#include "forward_rig.h"

#include <catch2/catch.hpp>

using namespace lhub;

using script = std::deque<endpoint_script>;

static std::string verdictIn(const http_reply& reply)
{
    return reply.result == http_result::Answered ? std::string(reply.response["Lhub-Verdict"]) : "no answer";
}

TEST_CASE("a request reaches the endpoint without its prefix and comes back whole with its verdict and id")
{
    forward_rig rig({ script { endpoint_script::Whole } });
    const auto reply = rig.call(http::verb::get, "/s/s/record/7?x=1", {}, { { "Lhub-Request-Id", "mine" } });
    REQUIRE(reply.result == http_result::Answered);
    CHECK(reply.response.body() == "whole");
    CHECK(verdictIn(reply) == "ran");
    CHECK(reply.response["Lhub-Request-Id"] == "mine");
    CHECK(rig.endpoints.front().targets == std::vector<std::string> { "/record/7?x=1" });
    CHECK(rig.shell.state.pools.at("s").reservations.empty());
}

TEST_CASE("a refused connection: the order goes to the other endpoint and runs once")
{
    forward_rig rig({ script { endpoint_script::Whole }, script { endpoint_script::Whole } });
    rig.closeEndpoint(0);
    for (int i = 0; i < 2; ++i)
        CHECK(verdictIn(rig.call(http::verb::post, "/s/s/order", "x")) == "ran");
    CHECK(rig.runs() == 2);
}

TEST_CASE("a connection reset before, during and after an order: may_have_run, never sent again")
{
    for (const auto step : { endpoint_script::ResetAtOnce, endpoint_script::ResetAfterRequest, endpoint_script::Garbage }) {
        forward_rig rig({ script { step }, script { step } });
        const auto reply = rig.call(http::verb::post, "/s/s/order", "x");
        CHECK(verdictIn(reply) == "may_have_run");
        CHECK(reply.response.result() == http::status::bad_gateway);
        CHECK(rig.runs() <= 1);
    }
}

TEST_CASE("an idempotent request goes on after a reset and is answered whole")
{
    forward_rig rig({ script { endpoint_script::ResetAfterRequest, endpoint_script::Whole },
        script { endpoint_script::ResetAfterRequest, endpoint_script::Whole } });
    const auto reply = rig.call(http::verb::get, "/s/s/x");
    CHECK(verdictIn(reply) == "ran");
    CHECK(reply.response.body() == "whole");
}

TEST_CASE("an endpoint's own refusal is not_run, and the order goes elsewhere")
{
    forward_rig rig({ script { endpoint_script::Shed }, script { endpoint_script::Whole } });
    CHECK(verdictIn(rig.call(http::verb::post, "/s/s/order", "x")) == "ran");
    forward_rig full({ script { endpoint_script::Shed } });
    const auto reply = full.call(http::verb::post, "/s/s/order", "x");
    CHECK(verdictIn(reply) == "not_run");
    CHECK(reply.response.result() == http::status::service_unavailable);
}

TEST_CASE("a short body is never a whole answer")
{
    forward_rig rig({ script { endpoint_script::ShortBody } });
    const auto reply = rig.call(http::verb::get, "/s/s/bundle");
    CHECK(reply.result == http_result::Lost);
    CHECK(rig.shell.state.counters.whole == 0);
}

TEST_CASE("an answer that carries another request's id reaches nobody")
{
    forward_rig rig({ script { endpoint_script::ForeignAnswer } });
    const auto reply = rig.call(http::verb::post, "/s/s/order", "x");
    CHECK(verdictIn(reply) == "may_have_run");
    CHECK(reply.response.body().find("whole") == std::string::npos);
}

TEST_CASE("no answer by the deadline: the order may have run, its connection is not used again")
{
    forward_rig rig({ script { endpoint_script::Never, endpoint_script::Whole } }, 150);
    const auto reply = rig.call(http::verb::post, "/s/s/order", "x");
    CHECK(verdictIn(reply) == "may_have_run");
    CHECK(reply.response.result() == http::status::gateway_timeout);
    CHECK(rig.shell.idleConnections.empty());
    CHECK(verdictIn(rig.call(http::verb::get, "/s/s/x")) == "ran");
}

TEST_CASE("a caller's shorter deadline is kept")
{
    forward_rig rig({ script { endpoint_script::Never } }, 60'000);
    const auto reply = rig.call(http::verb::post, "/s/s/order", "x", { { "Lhub-Deadline-Ms", "100" } });
    CHECK(reply.response.result() == http::status::gateway_timeout);
}

TEST_CASE("an answer without a length is relayed whole in chunks")
{
    forward_rig rig({ script { endpoint_script::CloseDelimited } });
    const auto reply = rig.call(http::verb::get, "/s/s/x");
    REQUIRE(reply.result == http_result::Answered);
    CHECK(reply.response.body() == "until the end");
}

TEST_CASE("bodies larger than the kept part are streamed both ways, byte for byte")
{
    constexpr std::size_t Size = 3'000'000;
    std::string body(Size, 'a');
    for (std::size_t i = 0; i < Size; i += 997)
        body[i] = static_cast<char>('a' + i % 26);
    forward_rig rig({ script { endpoint_script::Echo } });
    const auto reply = rig.call(http::verb::put, "/s/s/survey", body);
    REQUIRE(reply.result == http_result::Answered);
    CHECK(reply.response.body() == body);
}

TEST_CASE("a streamed body is not sent a second time")
{
    forward_rig rig({ script { endpoint_script::ResetAfterRequest }, script { endpoint_script::ResetAfterRequest } });
    const auto reply = rig.call(http::verb::put, "/s/s/survey", std::string(300'000, 'x'));
    CHECK(rig.runs() == 1);
    CHECK(verdictIn(reply) == "may_have_run");
}

TEST_CASE("an unknown service and bad look-ups are answered with a problem document")
{
    forward_rig rig({ script { endpoint_script::Whole } });
    CHECK(rig.call(http::verb::get, "/s/none/x").response.result() == http::status::not_found);
    CHECK(rig.call(http::verb::get, "/v1/steer?service=none").response.result() == http::status::bad_request);
    const auto reply = rig.call(http::verb::get, "/v1/steer?service=s&client=not-an-ip");
    CHECK(reply.response.result() == http::status::bad_request);
    CHECK(reply.response[http::field::content_type] == "application/problem+json");
    CHECK(reply.response.body().find("not-an-ip") != std::string::npos);
}

TEST_CASE("the same order at the same VM again: answered as ran, run once")
{
    forward_rig rig({ script { endpoint_script::Whole } });
    const auto prefix = json::parse(rig.call(http::verb::get, "/v1/key").response.body());
    const std::string key = std::string(prefix.at("prefix").as_string()) + "order-1";
    CHECK(verdictIn(rig.call(http::verb::post, "/s/s/order", "x", { { "Idempotency-Key", key } })) == "ran");
    const auto again = rig.call(http::verb::post, "/s/s/order", "x", { { "Idempotency-Key", key } });
    CHECK(again.response.result() == http::status::conflict);
    CHECK(verdictIn(again) == "ran");
    CHECK(rig.runs() == 1);
}

TEST_CASE("a caller that calls itself another zone is not believed: its order's key is claimed all the same")
{
    forward_rig rig({ script { endpoint_script::Whole } });
    const auto prefix = json::parse(rig.call(http::verb::get, "/v1/key").response.body());
    const std::string key = std::string(prefix.at("prefix").as_string()) + "order-1";
    for (int i = 0; i < 2; ++i)
        rig.call(http::verb::post, "/s/s/order", "x", { { "Idempotency-Key", key }, { "Lhub-Source-Zone", "a" } });
    CHECK(rig.runs() == 1);
}

TEST_CASE("a malformed deadline is refused by name and value, and unknown services leave nothing behind")
{
    forward_rig rig({ script { endpoint_script::Whole } });
    const auto reply = rig.call(http::verb::get, "/s/s/x", {}, { { "Lhub-Deadline-Ms", "soon" } });
    CHECK(reply.response.result() == http::status::bad_request);
    CHECK(reply.response.body().find("Lhub-Deadline-Ms: 'soon'") != std::string::npos);
    CHECK(rig.runs() == 0);
    rig.call(http::verb::get, "/s/made-up/x");
    CHECK(rig.shell.latency.empty());
}
