/** @file test_explain.cpp Tests of the explanation of how a request is steered. */
#include "explain/explain_func.h"
#include "zone_harness.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lhub;

static bool containsText(const std::vector<std::string>& text, const std::string& part)
{
    return std::any_of(
        text.begin(), text.end(), [&](const auto& line) { return line.find(part) != std::string::npos; });
}

TEST_CASE("the explanation names the pool's owner, the usable slots, leaving endpoints, shifts and unknown services")
{
    auto zone = makeZone(2);
    zone.runFor(seconds(5));
    zone.configure("drain/d", { { "name", "d" }, { "kind", "endpoint" }, { "target", "s/a-1" } });
    zone.configure("shift/m",
        { { "name", "m" }, { "service", "s" }, { "from_region", "r" }, { "to_region", "q" }, { "permille", 500 },
            { "cap_per_second", 40 }, { "status", "running" }, { "zones", json::array { "a", "b" } } });
    const client_lookup_result lookup { { { "vm1", "127.0.0.1:80", 100 } }, 3, 9, "a" };
    const auto text = explainRequest(zone.vms.at("vm2"), lookup, "10.0.0.9", "s");
    CHECK(containsText(text, "Client 10.0.0.9 is nearest to zone a in region r."));
    CHECK(containsText(text, "none is given twice: " + zone.owners("s").at(0)));
    CHECK(containsText(text, "2 endpoints here with 3 usable places"));
    CHECK(containsText(text, "1 endpoint of them gets no new requests"));
    CHECK(containsText(text, "at most 40 a second in all and 20 from this zone"));
    CHECK(containsText(explainRequest(zone.vms.at("vm2"), lookup, "10.0.0.9", "none"), "no service none"));
}
