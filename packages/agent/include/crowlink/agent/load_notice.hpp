#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// An agent tells a few peers its load, so that each knows the average.
struct load_notice
{
    service_id service;
    // The agent that is meant; another one drops the notice.
    upstream_tag receiver = 0;
    upstream_tag sender = 0;
    // In millionths of what the upstream can take.
    std::uint32_t load = 0;

    friend auto operator<=>(const load_notice&, const load_notice&) = default;
};

} // namespace crowlink
