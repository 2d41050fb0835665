/** @file bench_func.h Benchmarks of decisions against simpler policies, of memory and time by system size, and of running programs. Results are printed to standard output. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lhub {

/** Compares policies of endpoint choice in a queue model under the same arrivals (bench_queue.cpp). */
void benchEndpointChoice(std::uint64_t seed);

/** Measures the client table and look-ups in-process, without the network (bench_client_lookup.cpp). */
void benchClientLookup(std::uint64_t seed);

/**
 * Compares placement and admission of lhub-gate with simpler policies under several simulated loads (bench_placement.cpp).
 * @param svg file for a plot; empty for none.
 */
void benchPlacement(std::uint64_t seed, const std::string& svg);

/** Measures memory, time and bytes by the size of the system, for docs/CAPACITY.md (bench_capacity.cpp). */
void benchCapacity();

/**
 * Measures the latency that the entry VM adds to a request, by alternating requests to the endpoint and through the entry VM
 * (bench_http.cpp).
 * @param direct IP:port/path of the endpoint.
 * @param through IP:port/path of the entry VM.
 * @param rounds measured pairs of requests.
 * @return exit code: 0, or 1 when a connection or request failed.
 */
int benchForward(const std::string& direct, const std::string& through, int rounds);

/**
 * Measures look-ups per second over keep-alive connections (bench_http.cpp).
 * @param entry IP:port of the entry VM.
 * @param target path and query of the look-up.
 * @return exit code: 0, or 1 when no look-up succeeded.
 */
int benchLookups(const std::string& entry, const std::string& target, int connections, int seconds);

} // namespace lhub
