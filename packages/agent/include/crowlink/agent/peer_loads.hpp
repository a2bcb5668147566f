#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace crowlink::internal
{

// The latest loads that peers have sent. A service with more members than slots
// is represented by a sample of them.
class peer_loads
{
public:
    static constexpr std::size_t slots = 64;

    // A service time of zero is unknown.
    void note(time_point now, upstream_tag peer, std::uint32_t load,
              duration service_time = duration::zero());

    // The mean of the peers' recent loads; empty without a recent one.
    std::optional<std::uint32_t> mean(time_point now) const;

    // The mean of the peers' known service times; empty with fewer than two
    // recent ones, since a single peer may be the one that is slow.
    std::optional<duration> mean_service_time(time_point now) const;

private:
    struct sample
    {
        upstream_tag peer = 0;
        std::uint32_t load = 0;
        duration service_time{};
        time_point until{};
    };

    std::array<sample, slots> m_samples{};
};

} // namespace crowlink::internal
