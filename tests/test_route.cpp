/** @file test_route.cpp Matching of requests to routes, and division of requests over the targets of a route. */
#include "route/route_func.h"

#include <catch2/catch.hpp>

using namespace lhub;

static route makeRoute(const std::string& name, const std::string& host, const std::string& prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.targets = { { "service-" + name, 1 } };
    return result;
}

/** Name of the matching route; "-" when there is none. */
static std::string match(const route_table& table, std::string_view host, std::string_view target)
{
    const auto* found = findRoute(table, host, target);
    return found ? found->name : "-";
}

TEST_CASE("a request matches the route of its host with the longest prefix, compared by whole path segments")
{
    route_config config;
    config.routes = { makeRoute("short", "one.example", "/a/"), makeRoute("long", "one.example", "/a/b/"),
        makeRoute("other", "two.example", "/a/") };
    const auto table = makeRouteTable(config);
    CHECK(match(table, "one.example", "/a/x") == "short");
    CHECK(match(table, "one.example", "/a/b/x?q=/a/") == "long");
    CHECK(match(table, "one.example", "/a/bx") == "short");
    CHECK(match(table, "ONE.example:8080", "/a/") == "short");
    CHECK(match(table, "two.example", "/a/b/") == "other");
    CHECK(match(table, "two.example", "/a") == "-");
    CHECK(match(table, "three.example", "/a/") == "-");
    CHECK(match(table, "one.example", "/?/a/") == "-");
}

TEST_CASE("each target of a route gets its share of every hundred requests")
{
    auto split = makeRoute("split", "h", "/");
    split.targets = { { "big", 85 }, { "small", 15 } };
    split_state state;
    unsigned small = 0;
    for (int i = 0; i < 1000; ++i) {
        small += nextTarget(state, split) == "small" ? 1 : 0;
        if ((i + 1) % 100 == 0)
            CHECK(small == static_cast<unsigned>(15 * (i + 1) / 100));
    }
}

TEST_CASE("a target with weight 0 gets no requests")
{
    auto split = makeRoute("split", "h", "/");
    split.targets = { { "all", 1 }, { "none", 0 } };
    split_state state;
    for (int i = 0; i < 100; ++i)
        CHECK(nextTarget(state, split) == "all");
}
