#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace crowlink
{

// What an upstream periodically announces to the agent beside it.
struct upstream_announcement
{
    // Identifies the upstream; it may keep the name when it restarts.
    upstream_id id;
    // Distinguishes the incarnations of one name: the Unix time of the
    // upstream's start in milliseconds. Absent when upstreams don't report it;
    // each start then needs a name of its own.
    std::optional<incarnation> started;
    // The service's name.
    std::string service;
    // Increases with each announcement of one incarnation, so that late ones
    // are recognised.
    std::uint64_t sequence = 0;
    // The upstream keeps its flows and wants no new ones.
    bool leaves = false;
    // How much longer the upstream is slower than usual after its start.
    duration warm_up_left{};
    // The number of requests that the upstream runs concurrently.
    std::uint32_t slots = 0;

    friend auto operator<=>(const upstream_announcement&,
                            const upstream_announcement&) = default;
};

} // namespace crowlink
