#pragma once

#include "crowlink/requests/queue_order.hpp"

#include <algorithm>
#include <optional>

namespace crowlink
{

// The requests that wait for a slot, with one limit over all kinds.
template <queue_order Order>
class work_queue
{
public:
    work_queue(std::size_t kinds, std::size_t limit)
        : m_order(kinds), m_queues(kinds), m_limit(limit)
    {
    }

    // Adds a request. Returns the request that is shed to make room, if any,
    // which may be the new one.
    std::optional<queued_work> push(queued_work work)
    {
        work.arrival = ++m_arrivals;
        std::optional<queued_work> shed;
        if (m_size >= m_limit)
        {
            const kind_index from = m_order.kind_to_shed(work, m_queues);
            if (from == work.kind || m_queues[from].waiting.empty())
            {
                return work;
            }
            shed = drop_newest(from);
        }
        m_order.on_push(work, m_queues);
        m_queues[work.kind].waiting.push_back(work);
        m_queues[work.kind].weight += work.weight;
        ++m_size;
        return shed;
    }

    // Removes and returns the request that starts next.
    std::optional<queued_work> pop()
    {
        if (m_size == 0)
        {
            return std::nullopt;
        }
        kind_queue& queue = m_queues[m_order.next(m_queues)];
        const queued_work work = queue.waiting.front();
        m_order.on_pop(work);
        queue.waiting.pop_front();
        queue.weight -= work.weight;
        --m_size;
        return work;
    }

    // Removes a request from the queue. Has no effect if it is not queued.
    void remove(kind_index kind, std::uint64_t job)
    {
        if (kind >= m_queues.size())
        {
            return;
        }
        kind_queue& queue = m_queues[kind];
        const auto found = std::find_if(
            queue.waiting.begin(), queue.waiting.end(),
            [job](const queued_work& work) { return work.job == job; });
        if (found == queue.waiting.end())
        {
            return;
        }
        queue.weight -= found->weight;
        queue.waiting.erase(found);
        --m_size;
    }

    std::size_t size() const { return m_size; }
    const kind_queues& queues() const { return m_queues; }

private:
    queued_work drop_newest(kind_index kind)
    {
        kind_queue& queue = m_queues[kind];
        const queued_work work = queue.waiting.back();
        queue.waiting.pop_back();
        queue.weight -= work.weight;
        --m_size;
        return work;
    }

    Order m_order;
    kind_queues m_queues;
    std::size_t m_limit;
    std::size_t m_size = 0;
    std::uint64_t m_arrivals = 0;
};

} // namespace crowlink
