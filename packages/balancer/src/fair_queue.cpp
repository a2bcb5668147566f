#include "crowlink/balancer/fair_queue.hpp"

#include <algorithm>

namespace crowlink
{

std::size_t fair_queue::push(egress_packet packet)
{
    if (m_flows.size() >= max_flows && m_flows.count(packet.flow) == 0)
    {
        forget_idle();
        if (m_flows.size() >= max_flows)
        {
            return 1;
        }
    }
    const std::uint64_t flow = packet.flow;
    flow_state& state = m_flows[flow];
    if (state.packets.size() >= max_packets_per_flow)
    {
        return 1;
    }
    const std::size_t size = packet.bytes.size();
    const std::uint64_t start = std::max(m_now, state.finish);
    if (state.packets.empty())
    {
        m_heads.emplace(start, flow);
    }
    state.finish = start + size;
    state.bytes += size;
    m_bytes += size;
    state.packets.push_back(tagged_packet{start, std::move(packet)});
    std::size_t dropped = 0;
    while (m_bytes > m_max_bytes)
    {
        drop_newest_of_longest();
        ++dropped;
    }
    return dropped;
}

egress_packet fair_queue::pop()
{
    const auto [start, flow] = *m_heads.begin();
    m_heads.erase(m_heads.begin());
    m_now = start;
    flow_state& state = m_flows[flow];
    egress_packet packet = std::move(state.packets.front().packet);
    state.packets.pop_front();
    state.bytes -= packet.bytes.size();
    m_bytes -= packet.bytes.size();
    if (!state.packets.empty())
    {
        m_heads.emplace(state.packets.front().start, flow);
    }
    else if (m_heads.empty())
    {
        // With nothing queued, no flow has an advantage to make up for.
        m_flows.clear();
        m_now = 0;
    }
    return packet;
}

std::size_t fair_queue::erase(std::uint64_t flow)
{
    const auto found = m_flows.find(flow);
    if (found == m_flows.end())
    {
        return 0;
    }
    const std::size_t count = found->second.packets.size();
    if (count > 0)
    {
        m_heads.erase({found->second.packets.front().start, flow});
        m_bytes -= found->second.bytes;
    }
    m_flows.erase(found);
    return count;
}

bool fair_queue::holds(std::uint64_t flow) const
{
    const auto found = m_flows.find(flow);
    return found != m_flows.end() && !found->second.packets.empty();
}

bool fair_queue::holds(std::uint64_t flow, std::uint64_t digest) const
{
    const auto found = m_flows.find(flow);
    return found != m_flows.end() &&
           std::any_of(found->second.packets.begin(),
                       found->second.packets.end(),
                       [digest](const tagged_packet& each)
                       { return each.packet.digest == digest; });
}

void fair_queue::drop_newest_of_longest()
{
    const auto longest =
        std::max_element(m_flows.begin(), m_flows.end(),
                         [](const auto& first, const auto& second)
                         { return first.second.bytes < second.second.bytes; });
    flow_state& state = longest->second;
    const tagged_packet& newest = state.packets.back();
    const std::size_t size = newest.packet.bytes.size();
    state.finish = newest.start;
    state.bytes -= size;
    m_bytes -= size;
    if (state.packets.size() == 1)
    {
        m_heads.erase({newest.start, longest->first});
    }
    state.packets.pop_back();
}

void fair_queue::forget_idle()
{
    std::erase_if(m_flows,
                  [](const auto& each) { return each.second.packets.empty(); });
}

} // namespace crowlink
