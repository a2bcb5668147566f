#pragma once

#include "crowlink/requests/queue_order.hpp"

#include <algorithm>
#include <deque>

namespace crowlink::bench
{

// First come, first served over all kinds; the newcomer is shed.
class arrival_order
{
public:
    explicit arrival_order(std::size_t /*kinds*/) {}

    void on_push(const queued_work& /*work*/, const kind_queues& /*queues*/) {}
    void on_pop(const queued_work& /*work*/) {}

    kind_index next(const kind_queues& queues) const
    {
        kind_index best = 0;
        std::uint64_t earliest = ~std::uint64_t{0};
        for (kind_index kind = 0; kind < queues.size(); ++kind)
        {
            const auto& waiting = queues[kind].waiting;
            if (!waiting.empty() && waiting.front().arrival < earliest)
            {
                earliest = waiting.front().arrival;
                best = kind;
            }
        }
        return best;
    }

    kind_index kind_to_shed(const queued_work& arriving,
                            const kind_queues& /*queues*/) const
    {
        return arriving.kind;
    }
};

// Campaigns by their virtual finish time: what a kind has waiting at one time
// is one campaign; campaigns advance in virtual time at equal shares, and the
// one that would finish first there runs first, with all of its requests.
class campaign_order
{
public:
    explicit campaign_order(std::size_t kinds) : m_finish(kinds) {}

    void on_push(const queued_work& work, const kind_queues& queues)
    {
        if (queues[work.kind].waiting.empty())
        {
            m_finish[work.kind] = std::max(m_finish[work.kind], m_virtual_time);
        }
        m_finish[work.kind] += work.weight;
    }

    // The whole system serves `weight`; each active campaign advances by its
    // share of that in virtual time.
    void on_pop(const queued_work& work)
    {
        const double active = std::max(1.0, m_active);
        m_virtual_time += work.weight / active;
    }

    kind_index next(const kind_queues& queues) const
    {
        kind_index best = 0;
        bool found = false;
        m_active = 0;
        for (kind_index kind = 0; kind < queues.size(); ++kind)
        {
            if (queues[kind].waiting.empty())
            {
                continue;
            }
            ++m_active;
            if (!found || m_finish[kind] < m_finish[best])
            {
                best = kind;
                found = true;
            }
        }
        return best;
    }

    kind_index kind_to_shed(const queued_work& arriving,
                            const kind_queues& queues) const
    {
        kind_index most = arriving.kind;
        for (kind_index kind = 0; kind < queues.size(); ++kind)
        {
            if (queues[kind].weight > queues[most].weight)
            {
                most = kind;
            }
        }
        return most;
    }

private:
    std::vector<double> m_finish;
    double m_virtual_time = 0;
    mutable double m_active = 0;
};

static_assert(queue_order<arrival_order> && queue_order<campaign_order>,
              "the compared orders must satisfy the queue order concept");

} // namespace crowlink::bench
