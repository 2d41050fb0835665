/** @file bench_func.h Measurements: of decisions against simpler baselines, of slopes, of the running programs. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lhub {

/** Endpoint choice: one queue model, several policies, same arrivals (bench_queue.cpp). */
void benchEndpointChoice(std::uint64_t seed);

/** Client table and look-ups without the network (bench_client_lookup.cpp). */
void benchSteer(std::uint64_t seed);

/** Placement and admission: the reducer under several loads against simpler policies (bench_placement.cpp). @param svg file for a plot; empty for none. */
void benchPlace(std::uint64_t seed, const std::string& svg);

/** Slopes of state, time and bytes for docs/CAPACITY.md (bench_capacity.cpp). */
void benchCapacity();

/** What the entry VM adds to a request, against the endpoint itself, in turn (bench_http.cpp). */
int benchForward(const std::string& direct, const std::string& through, int rounds);

/** Look-ups a second over keep-alive connections (bench_http.cpp). */
int benchLookups(const std::string& entry, const std::string& target, int connections, int seconds);

} // namespace lhub
