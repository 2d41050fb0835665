/** @file test_client_lookup.cpp The client table, and choosing entry VMs for a client. */
#include "client_lookup/client_lookup_func.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace lhub;

static std::uint32_t ip(unsigned a, unsigned b, unsigned c, unsigned d) { return (a << 24) | (b << 16) | (c << 8) | d; }

static std::string zoneOf(const client_table& table, std::uint32_t address)
{
    const auto* zone = zoneOfClient(table, address);
    return zone ? *zone : "-";
}

TEST_CASE("the table finds the zone of a client, at both ends of a block and in the gaps")
{
    std::istringstream input("# comment\n10.0.0.0/8 a\n11.1.0.0/16 b\n11.2.3.0/24 c\n255.255.255.0/24 d\n");
    const auto table = readClientTable(input);
    REQUIRE(table);
    CHECK(zoneOf(*table, ip(10, 0, 0, 0)) == "a");
    CHECK(zoneOf(*table, ip(10, 255, 255, 255)) == "a");
    CHECK(zoneOf(*table, ip(11, 0, 0, 0)) == "-");
    CHECK(zoneOf(*table, ip(11, 1, 77, 1)) == "b");
    CHECK(zoneOf(*table, ip(11, 2, 2, 255)) == "-");
    CHECK(zoneOf(*table, ip(11, 2, 3, 9)) == "c");
    CHECK(zoneOf(*table, ip(11, 2, 4, 0)) == "-");
    CHECK(zoneOf(*table, ip(255, 255, 255, 255)) == "d");
    CHECK(zoneOf(*table, 0) == "-");
}

TEST_CASE("a malformed line is reported by its number, and overlapping blocks are refused")
{
    std::istringstream bad("10.0.0.0/8 a\n10.0.0.1/8 b\n");
    CHECK(readClientTable(bad).reason.find("line 2") == 0);
    std::istringstream overlap("10.0.0.0/8 a\n10.1.0.0/16 b\n");
    CHECK(readClientTable(overlap).reason.find("overlaps") != std::string::npos);
}

static config_view makeView()
{
    config_view view;
    for (const std::string zone : { "a", "b" })
        view.places[zone] = { zone, "r" };
    view.places["c"] = { "c", "q" };
    for (const std::string zone : { "a", "b", "c" }) {
        for (const std::string number : { "1", "2" }) {
            const auto name = zone + number;
            view.vms[name] = { name, zone, name + ":80", name + ":81", name + ":82", 1, false };
        }
    }
    return view;
}

TEST_CASE("a client gets VMs of its own zone first, then of its region, then of another region")
{
    const auto index = makeClientLookupIndex(makeView());
    const auto result = lookUpClient(index, "a", 7, {});
    REQUIRE(result.choices.size() == 4);
    CHECK(result.choices[0].vm.front() == 'a');
    CHECK(result.choices[1].vm.front() == 'a');
    CHECK(result.choices[2].vm.front() == 'b');
    CHECK(result.choices[3].vm.front() == 'c');
}

TEST_CASE("the choices cover two regions, so that a client can still reach a VM when its own region is lost")
{
    const auto view = makeView();
    const auto index = makeClientLookupIndex(view);
    for (const std::string zone : { "a", "b", "c", "nowhere" }) {
        std::set<std::string> regions;
        for (const auto& choice : lookUpClient(index, zone, 5, {}).choices)
            regions.insert(index.regionOf.at(view.vms.at(choice.vm).zone));
        CHECK(regions.size() == 2);
    }
}

TEST_CASE("dead, leaving and drained VMs are never chosen")
{
    auto view = makeView();
    view.vms["a1"].leaving = true;
    view.drains["d"] = { "d", drain_kind::Zone, "b", {}, 0 };
    const auto index = makeClientLookupIndex(view);
    for (std::uint64_t client = 0; client < 50; ++client) {
        for (const auto& choice : lookUpClient(index, "a", client, { "a2" }).choices)
            CHECK(choice.vm.front() == 'c');
    }
}

TEST_CASE("a VM that joins takes over its part of the clients; the others keep their first choice")
{
    auto view = makeView();
    const auto before = makeClientLookupIndex(view);
    view.vms["a3"] = { "a3", "a", "a3:80", "a3:81", "a3:82", 1, false };
    const auto after = makeClientLookupIndex(view);
    int moved = 0;
    for (std::uint64_t client = 0; client < 3000; ++client) {
        const auto old = lookUpClient(before, "a", client, {}).choices[0].vm;
        const auto now = lookUpClient(after, "a", client, {}).choices[0].vm;
        CHECK((now == old || now == "a3"));
        moved += now == "a3" ? 1 : 0;
    }
    CHECK(moved > 800);
    CHECK(moved < 1200);
}
