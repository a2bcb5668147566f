// The planned and unplanned changes of a mesh.

#include "mesh_effects.hpp"

namespace crowlink::test
{

void mesh::drain(std::size_t index, bool on)
{
    m_nodes[index].record.state =
        on ? upstream_state::draining : upstream_state::ready;
    ++m_nodes[index].record.sequence;
    publish();
}

void mesh::leave(std::size_t index)
{
    handle(index, leave_requested{});
}

void mesh::retire_if_idle(std::size_t index)
{
    member_node& here = m_nodes[index];
    if (here.alive && here.record.state == upstream_state::draining &&
        here.core->flows() == 0)
    {
        here.alive = false;
        publish();
    }
}

void mesh::set_weight(std::size_t index, std::uint32_t weight)
{
    m_nodes[index].record.weight = weight;
    ++m_nodes[index].record.sequence;
    publish();
}

void mesh::restart_agent(std::size_t index)
{
    m_nodes[index].record.sequence += 1000;
    start_agent(index);
    handle(index, upstream_survived{});
    handle(index, view_changed{view()});
    publish();
}

void mesh::replace_balancer(std::size_t index)
{
    // The replacement starts with the present view and has no earlier table.
    balancer& here = m_balancers[index];
    m_retired[here.address] = m_now + 2 * m_settings.max_lag;
    here.address.port = static_cast<std::uint16_t>(here.address.port + 1);
    here.current = forwarding_table::build(*view());
    here.previous = nullptr;
    publish();
}

void mesh::kill_balancer(std::size_t index)
{
    m_balancers.erase(m_balancers.begin() + static_cast<std::ptrdiff_t>(index));
    publish();
}

bool mesh::takes_answers(const endpoint& address) const
{
    const auto retired = m_retired.find(address);
    const bool drains = retired != m_retired.end() && m_now < retired->second;
    return drains || std::any_of(m_balancers.begin(), m_balancers.end(),
                                 [&address](const balancer& other)
                                 { return other.address == address; });
}

void mesh::kill_upstream(std::size_t index)
{
    handle(index, upstream_failed{});
    m_nodes[index].alive = false;
    m_nodes[index].open.clear();
    publish();
}

void mesh::start_new_incarnation(std::size_t index)
{
    member_node& here = m_nodes[index];
    here.record.started = incarnation(++m_incarnations);
    here.record.state = upstream_state::ready;
    here.alive = true;
    start_agent(index);
    handle(index, view_changed{view()});
    publish();
}

void mesh::send_from_upstream(std::uint32_t flow)
{
    const flow_key pushed = key(flow);
    handle(owners(flow).front(), upstream_answered{pushed, {}});
}

void mesh::set_answering(std::size_t index, bool on)
{
    m_nodes[index].answering = on;
}

void mesh::cut_from_control(std::size_t index, bool is_dead)
{
    m_nodes[index].is_silent = true;
    m_nodes[index].alive = !is_dead;
    publish();
}

void mesh::return_to_control(std::size_t index)
{
    m_nodes[index].is_silent = false;
    publish();
}

} // namespace crowlink::test
