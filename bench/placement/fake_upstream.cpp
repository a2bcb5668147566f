#include "fake_upstream.hpp"

#include <random>

namespace crowlink::placement
{

void fake_upstream::start()
{
    ++m_life;
    m_alive = true;
    m_started = m_events.now();
}

void fake_upstream::crash()
{
    ++m_life;
    m_alive = false;
    m_stalled = false;
    m_connections.clear();
    m_waiting.clear();
    m_held.clear();
    m_running = 0;
}

void fake_upstream::set_stalled(bool stalled)
{
    m_stalled = stalled && m_alive;
    std::deque<packet_text> held;
    held.swap(m_held);
    for (const packet_text& packet : held)
    {
        complete(packet, m_life);
    }
}

void fake_upstream::deliver(const packet_text& packet)
{
    if (!m_alive)
    {
        return;
    }
    const auto found = m_connections.find(packet.flow);
    if (found != m_connections.end())
    {
        accept(packet, found->second);
        return;
    }
    if (!packet.opens || m_connections.size() >= m_settings.connections)
    {
        m_hooks.refused(packet);
        return;
    }
    accept(packet, m_connections[packet.flow]);
}

// As TCP does: a repeated segment is answered again, and never runs again.
void fake_upstream::accept(const packet_text& packet, connection& known)
{
    if (packet.sequence < known.next)
    {
        if (!known.busy && !m_stalled)
        {
            m_hooks.answered(packet);
        }
        return;
    }
    known.next = packet.sequence + 1;
    known.busy = true;
    m_hooks.work_started();
    if (m_running < m_settings.slots)
    {
        begin(packet);
        return;
    }
    m_waiting.push_back(packet);
}

void fake_upstream::begin(const packet_text& packet)
{
    ++m_running;
    m_record.ran(packet.flow, packet.sequence);
    const std::uint64_t life = m_life;
    m_events.after(work_time(),
                   [this, packet, life] { complete(packet, life); });
}

void fake_upstream::complete(const packet_text& packet, std::uint64_t life)
{
    if (life != m_life)
    {
        return;
    }
    if (m_stalled)
    {
        m_held.push_back(packet);
        return;
    }
    --m_running;
    const auto known = m_connections.find(packet.flow);
    const bool wanted = known != m_connections.end();
    if (wanted)
    {
        known->second.busy = false;
    }
    if (wanted && packet.finishes)
    {
        m_connections.erase(known);
    }
    m_hooks.work_ended(wanted);
    if (wanted)
    {
        m_hooks.answered(packet);
    }
    if (!m_waiting.empty())
    {
        const packet_text next = m_waiting.front();
        m_waiting.pop_front();
        begin(next);
    }
}

duration fake_upstream::work_time()
{
    const double mean = m_settings.service_seconds;
    double seconds =
        std::exponential_distribution<double>(1.0 / mean)(m_random);
    const duration age = m_events.now() - m_started;
    if (age < m_settings.cold_start)
    {
        const double left =
            1.0 - std::chrono::duration<double>(age) /
                      std::chrono::duration<double>(m_settings.cold_start);
        seconds *= 1.0 + (m_settings.cold_slowdown - 1.0) * left;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace crowlink::placement
