#pragma once

#include <cstdint>
#include <vector>

namespace crowlink::placement
{

// What the upstreams themselves know of work that they ran: the truth that
// verdicts are checked against. A flow's requests run in the order of their
// sequence; one that runs a second time, anywhere, is doubled work.
class work_record
{
public:
    void ran(std::uint32_t flow, std::uint32_t sequence)
    {
        std::uint32_t& next = next_of(flow);
        if (sequence < next)
        {
            ++m_doubled;
            return;
        }
        next = sequence + 1;
    }

    bool has_run(std::uint32_t flow, std::uint32_t sequence) const
    {
        return flow < m_next.size() && sequence < m_next[flow];
    }

    std::uint64_t doubled() const { return m_doubled; }

private:
    std::uint32_t& next_of(std::uint32_t flow)
    {
        if (flow >= m_next.size())
        {
            m_next.resize(flow + 1, 0);
        }
        return m_next[flow];
    }

    // By flow: the sequence that has not run yet.
    std::vector<std::uint32_t> m_next;
    std::uint64_t m_doubled = 0;
};

} // namespace crowlink::placement
