#include "agent/agent_role.hpp"

#include "crowlink/model/system_document.hpp"
#include "process/process_identity.hpp"

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
    if (own.flow_packets)
    {
        made->m_life.emplace(
            std::chrono::milliseconds(own.flow_packets->silent_after_ms));
        made->m_service = own.service;
    }
    first.where = settings.host.place;
    first.weight = own.weight;
    auto thread = agent_thread::start(first, settings, own, std::move(*tunnel),
                                      keys, made->m_exchange, log);
    if (!thread)
    {
        return tl::unexpected(thread.error());
    }
    made->m_thread = std::move(*thread);
    return made;
}

bool agent_role::is_announced() const
{
    return m_life.has_value();
}

result<void> agent_role::announce(time_point now,
                                  const upstream_announcement& told)
{
    const std::lock_guard lock(m_life_mutex);
    if (number_of_service(told.service) != m_service)
    {
        return fail(error_kind::invalid, "service",
                    "must be the service of this host's upstream");
    }
    result<void> taken = m_life->announce(now, told);
    publish_status();
    return taken;
}

void agent_role::found(time_point now, const upstream_id& id, bool leaves)
{
    const std::lock_guard lock(m_life_mutex);
    m_life->found(now, id, leaves);
    publish_status();
}

void agent_role::withdraw(time_point now, const upstream_withdrawal& told)
{
    const std::lock_guard lock(m_life_mutex);
    m_life->withdraw(now, told);
    publish_status();
}

void agent_role::watch_upstream(time_point now)
{
    if (!m_life)
    {
        return;
    }
    const std::lock_guard lock(m_life_mutex);
    m_life->tick(now);
    if (m_exchange.upstream_refuses.exchange(false))
    {
        m_life->refused();
    }
    publish_status();
}

bool agent_role::is_upstream_gone() const
{
    const std::lock_guard lock(m_life_mutex);
    return m_life && (!m_life->status() || m_life->status()->is_gone);
}

// With the mutex held.
void agent_role::publish_status()
{
    const auto& status = m_life->status();
    if (!status || status == m_told)
    {
        return;
    }
    m_told = status;
    m_exchange.upstream.publish(
        std::make_shared<const tracked_upstream>(*status));
    m_exchange.to_agent.signal();
}

void agent_role::wake_on_change(std::shared_ptr<const wake_event> wake)
{
    m_exchange.to_control.publish(std::move(wake));
}

void agent_role::read_wanted(blackboard& board)
{
    const auto wanted = m_exchange.wanted.read();
    if (wanted == nullptr || wanted == m_read)
    {
        return;
    }
    m_read = wanted;
    wanted_records records = board.wanted.get();
    for (const auto& [id, record] : *wanted)
    {
        records[id] = record;
    }
    board.wanted.set(std::move(records));
}

void agent_role::advance(time_point now, const blackboard& board)
{
    watch_upstream(now);
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
