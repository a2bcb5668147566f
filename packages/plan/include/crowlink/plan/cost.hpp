#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace crowlink
{

// The costs that the capacity bench measures. The last "per" in a comment gives
// the independent variable of the linear function.
enum class cost : std::uint8_t
{
    // Nanoseconds for a balancer to route one packet, per member of the
    // service.
    balancer_packet_ns,
    // Bytes of one forwarding table, per member.
    table_bytes,
    // Nanoseconds to build one forwarding table, per member.
    table_build_ns,
    // Nanoseconds to receive and send one packet on a UDP socket, per byte.
    packet_io_ns,
    // Nanoseconds for an agent to process a packet of a known flow, per open
    // flow.
    agent_packet_ns,
    // Bytes of an agent's state, per open flow.
    agent_flow_bytes,
    // Nanoseconds for an agent to apply a new table, per open flow.
    agent_change_ns,
    // Nanoseconds until a change is durable on three voters, per byte of the
    // document.
    voter_change_ns,
    // Bytes that one change adds to a voter's log, per byte of the document.
    voter_log_bytes,
    // Nanoseconds for an observer to process one lease renewal, per upstream
    // that it stores.
    observer_renewal_ns,
    // Nanoseconds of an observer's tick for upstreams, every 100 ms, per
    // upstream.
    observer_tick_ns,
    // Nanoseconds of an observer's tick for attached nodes, every 100 ms, per
    // node.
    observer_node_tick_ns,
    // Bytes of an observer's state, per upstream.
    observer_bytes,
    // Nanoseconds for an observer to push one change, per subscribed node.
    observer_push_ns,
    // Bytes that an observer sends for one change, per subscribed node.
    observer_push_bytes,
    // Nanoseconds for a node to apply one change, per member of the service.
    node_change_ns,
    // Nanoseconds for a balancer to build a new forwarding set, per service.
    balancer_change_ns,
    // Bytes that a node receives, per change.
    node_change_bytes,
    // Bytes between a node and its observer, per second without changes.
    node_idle_bytes,
    // Bytes of a node's state, per record that it stores.
    node_bytes,
    // Bytes of the snapshot that a restarted node receives, per record.
    node_snapshot_bytes,
};

inline constexpr std::size_t cost_count =
    static_cast<std::size_t>(cost::node_snapshot_bytes) + 1;

// All costs in order of declaration.
std::array<cost, cost_count> all_costs();

// The name of a cost in the slopes file.
std::string_view to_string(cost value);

} // namespace crowlink
