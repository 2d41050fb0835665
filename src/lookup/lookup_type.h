/** @file lookup_type.h Which entry VMs a look-up names. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lhub {

/** An entry VM that may be named. */
struct lookup_candidate {
    std::string_view vm; ///< Identity.
    std::string_view ip; ///< Numeric IP.
    std::uint32_t carries = 1; ///< Requests a second that it can carry.
};

/** What a VM has to carry requests with. */
struct vm_size {
    double cores = 1; ///< Processor, in cores.
    double linkMbps = 1000; ///< Its link each way, in Mbit/s.
};

} // namespace lhub
