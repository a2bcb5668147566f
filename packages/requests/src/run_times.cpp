#include "crowlink/requests/run_times.hpp"

#include <algorithm>

namespace crowlink
{

namespace
{

// Reciprocal of the weight of a new observation.
constexpr int smoothing = 8;

} // namespace

run_times::run_times(std::vector<std::uint32_t> weights, duration per_weight)
    : m_weights(std::move(weights))
    , m_per_weight(per_weight)
    , m_observed(m_weights.size())
{
}

void run_times::observe(kind_index kind, duration run)
{
    std::optional<duration>& mean = m_observed[kind];
    mean = mean ? *mean + (run - *mean) / smoothing : run;
}

duration run_times::expected(kind_index kind) const
{
    const std::optional<duration>& mean = m_observed[kind];
    return mean ? *mean : m_weights[kind] * m_per_weight;
}

duration run_times::expected_wait(kind_index kind, const kind_queues& queues,
                                  std::uint32_t slots) const
{
    std::int64_t competing = queues[kind].waiting.empty() ? 1 : 0;
    for (const kind_queue& queue : queues)
    {
        competing += queue.waiting.empty() ? 0 : 1;
    }
    const auto own = static_cast<std::int64_t>(queues[kind].waiting.size());
    const duration fair = own * expected(kind) * competing / slots;
    return std::min(fair, drain_time(queues, slots));
}

duration run_times::drain_time(const kind_queues& queues,
                               std::uint32_t slots) const
{
    duration total{};
    for (kind_index kind = 0; kind < queues.size(); ++kind)
    {
        const auto waiting =
            static_cast<std::int64_t>(queues[kind].waiting.size());
        total += waiting * expected(kind);
    }
    return total / slots;
}

} // namespace crowlink
