#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace crowlink::internal
{

// Flows that are due after one fixed delay, first in, first out. The user of
// the queue keeps each flow in it at most once.
class deadline_queue
{
public:
    void push(time_point due, const flow_key& flow)
    {
        m_items.push_back(item{due, flow});
    }

    // Removes the first flow if it is due.
    std::optional<flow_key> pop(time_point now)
    {
        if (m_items.empty() || m_items.front().due > now)
        {
            return std::nullopt;
        }
        const flow_key flow = m_items.front().flow;
        m_items.pop_front();
        return flow;
    }

    std::size_t size() const { return m_items.size(); }

private:
    struct item
    {
        time_point due;
        flow_key flow;
    };

    std::deque<item> m_items;
};

} // namespace crowlink::internal
