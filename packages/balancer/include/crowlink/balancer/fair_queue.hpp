#pragma once

#include "crowlink/balancer/egress_packet.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

namespace crowlink
{

// Start-time fair queueing over flows: the packet with the lowest start tag is
// next. A packet starts at the finish of the preceding one of its flow, or at
// the start tag last served, whichever is later. Within a flow it is FIFO.
class fair_queue
{
public:
    // Flows whose finish tags are kept. Beyond, flows without queued packets
    // are forgotten: they may get one packet early.
    static constexpr std::size_t max_flows = 4096;
    // As many as a caller of the platform has in flight.
    static constexpr std::size_t max_packets_per_flow = 16;

    explicit fair_queue(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

    // Adds a packet. Returns the number of packets dropped to stay within the
    // bounds: the packet itself if its flow is full, or else the newest ones of
    // the longest flow.
    std::size_t push(egress_packet packet);
    // Removes the next packet; the queue is not empty.
    egress_packet pop();
    // Removes all packets of a flow; returns their number.
    std::size_t erase(std::uint64_t flow);

    bool holds(std::uint64_t flow) const;
    // Whether a packet with this digest waits: a caller has sent it again.
    bool holds(std::uint64_t flow, std::uint64_t digest) const;
    bool empty() const { return m_heads.empty(); }
    std::size_t bytes() const { return m_bytes; }

private:
    struct tagged_packet
    {
        std::uint64_t start = 0;
        egress_packet packet;
    };
    struct flow_state
    {
        std::deque<tagged_packet> packets;
        std::size_t bytes = 0;
        std::uint64_t finish = 0;
    };

    void drop_newest_of_longest();
    void forget_idle();

    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    // The start tag of the packet served last.
    std::uint64_t m_now = 0;
    std::unordered_map<std::uint64_t, flow_state> m_flows;
    // The start tag of the first packet of each flow, and the flow.
    std::set<std::pair<std::uint64_t, std::uint64_t>> m_heads;
};

} // namespace crowlink
