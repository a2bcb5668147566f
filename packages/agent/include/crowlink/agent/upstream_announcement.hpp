#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace crowlink
{

// What an upstream says of itself to the agent beside it, again and again.
struct upstream_announcement
{
    // Names one life of the upstream: each start takes a new one.
    upstream_id id;
    // The service's name.
    std::string service;
    // Rises with each announcement of one life; a late one is known by it.
    std::uint64_t sequence = 0;
    // It keeps its flows and wants no new ones.
    bool leaves = false;
    // How long it goes on being slower than usual after its start.
    duration warm_up_left{};
    // Requests that it runs at the same time.
    std::uint32_t slots = 0;

    friend auto operator<=>(const upstream_announcement&,
                            const upstream_announcement&) = default;
};

} // namespace crowlink
