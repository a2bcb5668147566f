#include "crowlink/agent/peer_loads.hpp"

namespace crowlink::internal
{

namespace
{

// Longer than the interval between two notices from a peer of a service with
// many members.
constexpr duration recent = std::chrono::seconds(10);

} // namespace

void peer_loads::note(time_point now, upstream_tag peer, std::uint32_t load,
                      duration service_time)
{
    m_samples[peer % slots] = sample{peer, load, service_time, now + recent};
}

std::optional<std::uint32_t> peer_loads::mean(time_point now) const
{
    std::uint64_t sum = 0;
    std::uint64_t count = 0;
    for (const sample& next : m_samples)
    {
        if (next.until > now)
        {
            sum += next.load;
            ++count;
        }
    }
    if (count == 0)
    {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(sum / count);
}

std::optional<duration> peer_loads::mean_service_time(time_point now) const
{
    constexpr std::int64_t min_peers = 2;
    duration sum{};
    std::int64_t count = 0;
    for (const sample& next : m_samples)
    {
        if (next.until > now && next.service_time > duration::zero())
        {
            sum += next.service_time;
            ++count;
        }
    }
    if (count < min_peers)
    {
        return std::nullopt;
    }
    return sum / count;
}

} // namespace crowlink::internal
