#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// An agent sends its load to a few peers, so that each can estimate the mean.
struct load_notice
{
    service_id service;
    // The receiving agent; any other drops the notice.
    upstream_tag receiver = 0;
    upstream_tag sender = 0;
    // In millionths of the upstream's capacity.
    std::uint32_t load = 0;
    // The mean service time of the sender's upstream; zero if unknown, as from
    // an agent of an earlier release.
    duration service_time{};

    friend auto operator<=>(const load_notice&, const load_notice&) = default;
};

} // namespace crowlink
