#pragma once

#include "crowlink/balancer/host_capacity.hpp"
#include "crowlink/base/time.hpp"

#include <cstddef>
#include <deque>
#include <vector>

namespace crowlink
{

// Decides whether this entry host answers the readiness probe of its data
// centre. The fabric gives each ready host the same share of the flows, so with
// the hosts sorted by capacity the first k of them carry k times the capacity
// of the k-th. A host leaves the rotation if the best k of at least half of the
// hosts carry at least 1.5 times what all carry, and do not include it. All
// hosts apply this rule to the same list and therefore agree without messages.
// The caller calls tick about every 50 ms.
class rotation_policy
{
public:
    explicit rotation_policy(host_id self);

    // Takes the living entry hosts of the data centre, this one included, with
    // the capacities that they announced.
    void set_hosts(time_point now, std::vector<host_capacity> hosts);

    // `is_current` is false while the list may be out of date.
    void tick(time_point now, bool is_current);

    bool is_ready() const { return m_is_ready; }

private:
    struct past_count
    {
        std::size_t hosts = 0;
        // When it stops to count.
        time_point until{};
    };

    bool is_needed() const;
    std::size_t least_ready() const;
    std::size_t best_count() const;

    host_id m_self;
    // The largest first; all hosts break ties alike, by name.
    std::vector<host_capacity> m_hosts;
    // Earlier, larger numbers of hosts, in decreasing order.
    std::deque<past_count> m_past;
    // Since when the list is unchanged and current.
    time_point m_unchanged_since{};
    bool m_is_ready = true;
};

} // namespace crowlink
