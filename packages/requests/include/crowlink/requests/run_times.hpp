#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/queued_work.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace crowlink
{

// How long requests of each kind run, as an exponentially weighted moving
// average of what was observed, and the waits that follow from it.
class run_times
{
public:
    // The weights of the kinds; until a kind has been observed, it is taken to
    // run for its weight times `per_weight`.
    run_times(std::vector<std::uint32_t> weights, duration per_weight);

    void observe(kind_index kind, duration run);

    // The observed mean, if there is one; else of() goes by the weight.
    std::optional<duration> observed_mean(kind_index kind) const
    {
        return m_observed[kind];
    }
    duration expected(kind_index kind) const;

    // The expected wait of a request of this kind that arrives now, with fair
    // queueing over the kinds that wait.
    duration expected_wait(kind_index kind, const kind_queues& queues,
                           std::uint32_t slots) const;

    // The time in which all that waits will have started.
    duration drain_time(const kind_queues& queues, std::uint32_t slots) const;

private:
    std::vector<std::uint32_t> m_weights;
    duration m_per_weight;
    std::vector<std::optional<duration>> m_observed;
};

} // namespace crowlink
