#include "crowlink/requests/fair_order.hpp"

#include <algorithm>

namespace crowlink
{

void fair_order::on_push(const queued_work& work, const kind_queues& queues)
{
    if (queues[work.kind].waiting.empty())
    {
        m_starts[work.kind] = std::max(m_starts[work.kind], m_virtual_time);
    }
}

void fair_order::on_pop(const queued_work& work)
{
    m_virtual_time = m_starts[work.kind];
    m_starts[work.kind] += work.weight;
}

kind_index fair_order::next(const kind_queues& queues) const
{
    kind_index best = 0;
    bool found = false;
    for (kind_index kind = 0; kind < queues.size(); ++kind)
    {
        if (queues[kind].waiting.empty())
        {
            continue;
        }
        if (!found || m_starts[kind] < m_starts[best])
        {
            best = kind;
            found = true;
        }
    }
    return best;
}

kind_index fair_order::kind_to_shed(const queued_work& arriving,
                                    const kind_queues& queues) const
{
    kind_index most = arriving.kind;
    std::uint64_t weight = queues[most].weight + arriving.weight;
    for (kind_index kind = 0; kind < queues.size(); ++kind)
    {
        if (queues[kind].weight > weight)
        {
            most = kind;
            weight = queues[kind].weight;
        }
    }
    return most;
}

} // namespace crowlink
