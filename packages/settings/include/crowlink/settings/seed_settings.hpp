#pragma once

#include "crowlink/base/endpoint.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace crowlink
{

// Control hosts that are known by their addresses alone. A host's name is its
// address, and the ports are the same on all of them; so a host that is named
// later, by a message or by the log, can be reached without settings.
struct seed_settings
{
    // A few control hosts; the others are learned from them. Only the address
    // counts: the ports there serve others.
    std::vector<endpoint> hosts;
    // Where control hosts connect to each other, and nodes to them.
    std::uint16_t peer_port = 0;
    std::uint16_t node_port = 0;

    friend auto operator<=>(const seed_settings&,
                            const seed_settings&) = default;
};

} // namespace crowlink
