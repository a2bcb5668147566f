#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace crowlink
{

// What an upstream says of itself to the agent beside it, again and again.
struct upstream_announcement
{
    // Names the upstream; one that starts again may keep the name.
    upstream_id id;
    // Tells the lives of one name apart: the Unix time of the upstream's start
    // in milliseconds. Absent where upstreams don't tell it; then each start
    // has a name of its own.
    std::optional<incarnation> started;
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
