#pragma once

#include "crowlink/base/flow_key.hpp"

#include <cstdint>
#include <span>

namespace crowlink
{

// An upstream's answer on its way from the agent to a balancer, which sends it
// to the caller from the service's address. The payload is a UDP service's
// datagram, or for TCP the whole IP packet; it is a view into a buffer.
struct answer_datagram
{
    flow_key flow;
    std::span<const std::uint8_t> payload;
};

} // namespace crowlink
