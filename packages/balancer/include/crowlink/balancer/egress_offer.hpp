#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/forwarding/packet_header.hpp"
#include "crowlink/model/route_terms.hpp"

#include <cstdint>
#include <span>

namespace crowlink
{

// A routed packet that is to be sent to an agent.
struct egress_offer
{
    // The stable hash of its flow.
    std::uint64_t flow = 0;
    // Null where the terms of the route are not known.
    const route_terms* terms = nullptr;
    packet_role role = packet_role::any;
    // The first opening packet of a flow, and the port can refuse it.
    bool may_be_refused = false;
    // The caller sends no more data.
    bool finishes = false;
    // The caller's own packet, without the header for the agent.
    std::span<const std::uint8_t> payload;
    endpoint destination;
    // The encoded packet.
    std::span<const std::uint8_t> bytes;
};

} // namespace crowlink
