#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/time.hpp"

#include <cstdint>
#include <vector>

namespace crowlink
{

// An encoded packet that waits for its turn on the link.
struct egress_packet
{
    // The stable hash of its flow.
    std::uint64_t flow = 0;
    endpoint destination;
    time_point since{};
    // The hash of the caller's own packet.
    std::uint64_t digest = 0;
    // Whether it counts towards the bytes of its bulk flow, and ends them.
    bool is_bulk = false;
    bool finishes = false;
    std::vector<std::uint8_t> bytes;
};

} // namespace crowlink
