#include "crowlink/plan/cost.hpp"

#include "crowlink/plan/limit_use.hpp"

namespace crowlink
{

std::array<cost, cost_count> all_costs()
{
    std::array<cost, cost_count> all{};
    for (std::size_t index = 0; index < cost_count; ++index)
    {
        all[index] = static_cast<cost>(index);
    }
    return all;
}

std::string_view to_string(cost value)
{
    switch (value)
    {
    case cost::balancer_packet_ns:
        return "balancer_packet_ns";
    case cost::table_bytes:
        return "table_bytes";
    case cost::table_build_ns:
        return "table_build_ns";
    case cost::packet_io_ns:
        return "packet_io_ns";
    case cost::agent_packet_ns:
        return "agent_packet_ns";
    case cost::agent_flow_bytes:
        return "agent_flow_bytes";
    case cost::agent_change_ns:
        return "agent_change_ns";
    case cost::voter_change_ns:
        return "voter_change_ns";
    case cost::voter_log_bytes:
        return "voter_log_bytes";
    case cost::observer_renewal_ns:
        return "observer_renewal_ns";
    case cost::observer_tick_ns:
        return "observer_tick_ns";
    case cost::observer_node_tick_ns:
        return "observer_node_tick_ns";
    case cost::observer_bytes:
        return "observer_bytes";
    case cost::observer_push_ns:
        return "observer_push_ns";
    case cost::observer_push_bytes:
        return "observer_push_bytes";
    case cost::node_change_ns:
        return "node_change_ns";
    case cost::balancer_change_ns:
        return "balancer_change_ns";
    case cost::node_idle_bytes:
        return "node_idle_bytes";
    case cost::node_change_bytes:
        return "node_change_bytes";
    case cost::node_bytes:
        return "node_bytes";
    case cost::node_snapshot_bytes:
        return "node_snapshot_bytes";
    }
    return "unknown";
}

std::string_view to_string(limit value)
{
    switch (value)
    {
    case limit::entry_processor:
        return "processor of an entry host";
    case limit::entry_memory:
        return "memory of an entry host";
    case limit::entry_network:
        return "network of an entry host";
    case limit::node_control_processor:
        return "control's share of a node's core";
    case limit::node_control_memory:
        return "control's memory on a node";
    case limit::node_control_network:
        return "control's bytes a second at a node";
    case limit::control_hosts:
        return "hosts set aside for control";
    case limit::control_processor:
        return "processor of a control host";
    case limit::control_memory:
        return "memory of a control host";
    case limit::control_network:
        return "network of a control host";
    case limit::upstream_connections:
        return "connections of the upstreams";
    }
    return "unknown";
}

} // namespace crowlink
