#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/requests/queued_work.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace crowlink
{

// Estimates the run time of each kind as an exponentially weighted moving
// average of the observed run times, and the resulting queueing delays.
class run_times
{
public:
    // Takes the weights of the kinds. Until a run of a kind has been observed,
    // its run time is assumed to be its weight times `per_weight`.
    run_times(std::vector<std::uint32_t> weights, duration per_weight);

    void observe(kind_index kind, duration run);

    // Returns the mean of the observed run times, if there are any.
    std::optional<duration> observed_mean(kind_index kind) const
    {
        return m_observed[kind];
    }
    duration expected(kind_index kind) const;

    // Returns the expected queueing delay of a request of this kind that
    // arrives now, with fair queueing over the kinds that have waiting
    // requests.
    duration expected_wait(kind_index kind, const kind_queues& queues,
                           std::uint32_t slots) const;

    // Returns the expected time until all queued requests have started.
    duration drain_time(const kind_queues& queues, std::uint32_t slots) const;

private:
    std::vector<std::uint32_t> m_weights;
    duration m_per_weight;
    std::vector<std::optional<duration>> m_observed;
};

} // namespace crowlink
