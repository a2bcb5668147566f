#include "agent_role.hpp"

#include "process_identity.hpp"

#include <utility>

namespace crowlink::internal
{

agent_role::agent_role(const agent_role_settings& own)
    : m_drain_time(std::chrono::seconds(own.drain_seconds))
{
}

result<std::unique_ptr<agent_role>>
agent_role::open(const daemon_settings& settings,
                 const agent_role_settings& own, const key_ring& keys,
                 log_sink& log)
{
    result<udp_socket> tunnel = udp_socket::bind(own.tunnel);
    if (!tunnel)
    {
        return tl::unexpected(tunnel.error());
    }
    std::unique_ptr<agent_role> made(new agent_role(own));
    upstream_record& first = made->m_first;
    first.id = own.upstream;
    first.service = own.service;
    first.started = fresh_incarnation();
    first.agent = tunnel->local();
    first.where = settings.host.place;
    first.weight = own.weight;
    made->m_thread =
        std::make_unique<agent_thread>(first, own, std::move(*tunnel), keys,
                                       made->m_exchange, log, settings.log);
    return made;
}

void agent_role::wake_on_change(std::shared_ptr<const wake_event> wake)
{
    m_exchange.to_control.publish(std::move(wake));
}

void agent_role::read_wanted(blackboard& board) const
{
    const std::shared_ptr<const upstream_record> wanted =
        m_exchange.wanted.read();
    if (wanted == nullptr)
    {
        return;
    }
    wanted_records records = board.wanted.get();
    records[wanted->id] = wanted_record{wanted->state, wanted->weight};
    board.wanted.set(std::move(records));
}

void agent_role::advance(const blackboard& board)
{
    if (board.phase.get() != stop_phase::running && !m_exchange.leave)
    {
        m_exchange.leave = true;
        m_exchange.to_agent.signal();
    }
    if (!m_views.changed(board.views))
    {
        return;
    }
    const auto found = board.views.get().find(m_first.service);
    if (found == board.views.get().end() || found->second == m_known)
    {
        return;
    }
    m_known = found->second;
    m_exchange.view.publish(m_known);
    m_exchange.to_agent.signal();
}

} // namespace crowlink::internal
