#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace crowlink
{

// The costs that the capacity bench measures. The word after the last "per" of
// a comment is what the line runs over.
enum class cost : std::uint8_t
{
    // Nanoseconds of a balancer's decision on one packet, per member of the
    // service.
    balancer_packet_ns,
    // Bytes of one forwarding table, per member.
    table_bytes,
    // Nanoseconds to build one forwarding table, per member.
    table_build_ns,
    // Nanoseconds to receive and send one packet on a UDP socket, per byte.
    packet_io_ns,
    // Nanoseconds of an agent's decision on a packet of a known flow, per
    // open flow.
    agent_packet_ns,
    // Bytes of an agent's state, per open flow.
    agent_flow_bytes,
    // Nanoseconds of an agent's work on a new table, per open flow.
    agent_change_ns,
    // Nanoseconds until one change is durable on three voters, per byte of the
    // document.
    voter_change_ns,
    // Bytes that one change adds to a voter's log, per byte of the document.
    voter_log_bytes,
    // Nanoseconds of an observer for one lease renewal, per upstream it holds.
    observer_renewal_ns,
    // Nanoseconds of an observer's tick of 100 ms, per upstream.
    observer_tick_ns,
    // Nanoseconds of such a tick for attached nodes, per node.
    observer_node_tick_ns,
    // Bytes of an observer's state, per upstream.
    observer_bytes,
    // Nanoseconds of an observer to push one change, per interested node.
    observer_push_ns,
    // Bytes that an observer sends for one change, per interested node.
    observer_push_bytes,
    // Nanoseconds of a node to apply one change, per member of the service.
    node_change_ns,
    // Nanoseconds of a balancer to make a new set, per service it knows.
    balancer_change_ns,
    // Bytes that a node receives, per change.
    node_change_bytes,
    // Bytes between a node and its observer, per second without changes.
    node_idle_bytes,
    // Bytes of a node's state, per record that it holds.
    node_bytes,
    // Bytes of the snapshot that a restarted node receives, per record.
    node_snapshot_bytes,
};

inline constexpr std::size_t cost_count =
    static_cast<std::size_t>(cost::node_snapshot_bytes) + 1;

// All costs, in the order of the enumeration.
std::array<cost, cost_count> all_costs();

// The name in the slopes file.
std::string_view to_string(cost value);

} // namespace crowlink
