/** @file lookup_type.h Which entry VMs the response to a look-up names. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lhub {

/** An entry VM that the response may name. */
struct lookup_candidate {
    std::string_view vm; ///< Name of the VM.
    std::string_view ip; ///< Numeric IP.
    std::uint32_t requestsPerSecond = 1; ///< Its capacity.
};

/** Resources of a VM that bound its capacity. */
struct vm_size {
    double cores = 1; ///< Processor time that it may use, in cores.
    double linkMbps = 1000; ///< Bandwidth of its link in each direction, in Mbit/s.
};

} // namespace lhub
