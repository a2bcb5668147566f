#include "crowlink/membership/control_connections.hpp"

#include <algorithm>
#include <utility>

namespace crowlink
{

void control_connections::set_hosts(std::vector<host_id> preferred)
{
    m_preferred = std::move(preferred);
    const std::set<host_id> known(m_preferred.begin(), m_preferred.end());
    const auto is_gone = [&known](const auto& each)
    {
        return known.count(each.first) == 0;
    };
    std::erase_if(m_open, [&known](const host_id& each)
                  { return known.count(each) == 0; });
    std::erase_if(m_last_used, is_gone);
    std::erase_if(m_unreachable, is_gone);
    std::erase_if(m_last_lost, is_gone);
}

const std::set<host_id>&
control_connections::update(time_point now, const std::set<host_id>& used,
                            const std::set<host_id>& lost)
{
    note_lost(now, lost);
    if (connects_to_all())
    {
        for (const host_id& host : m_preferred)
        {
            open(host);
        }
        return m_open;
    }
    for (const host_id& host : used)
    {
        open(host);
        m_last_used[host] = now;
    }
    release_unused(now, used);
    add_spare(lost);
    return m_open;
}

std::set<host_id> control_connections::unreachable() const
{
    std::set<host_id> hosts;
    for (const auto& [host, until] : m_unreachable)
    {
        hosts.insert(host);
    }
    return hosts;
}

bool control_connections::connects_to_all() const
{
    return m_preferred.size() <= m_settings.fully_connected;
}

// An open connection tells by itself when the host is back. For a host without
// one, only the time tells that it is worth another try.
void control_connections::note_lost(time_point now,
                                    const std::set<host_id>& lost)
{
    std::erase_if(m_unreachable,
                  [this, now, &lost](const auto& each)
                  {
                      const auto& [host, until] = each;
                      return m_open.count(host) != 0 ? lost.count(host) == 0
                                                     : now >= until;
                  });
    for (const host_id& host : lost)
    {
        if (m_open.count(host) != 0)
        {
            m_unreachable[host] = now + m_settings.retry_wait;
            m_last_lost[host] = now;
        }
    }
}

// Closes at once what is lost and not in use. Of the other unused ones, those
// that were used recently stay for release_delay, and as many as are to be kept
// at least.
void control_connections::release_unused(time_point now,
                                         const std::set<host_id>& used)
{
    std::erase_if(
        m_open, [this, &used](const host_id& host)
        { return used.count(host) == 0 && m_unreachable.count(host) != 0; });
    for (auto each = m_open.begin();
         each != m_open.end() && m_open.size() > m_settings.kept;)
    {
        const bool is_idle =
            used.count(*each) == 0 &&
            now - m_last_used[*each] >= m_settings.release_delay;
        each = is_idle ? m_open.erase(each) : std::next(each);
    }
}

// Opens another connection if fewer than are kept stand.
void control_connections::add_spare(const std::set<host_id>& lost)
{
    const auto standing = std::count_if(m_open.begin(), m_open.end(),
                                        [&lost](const host_id& host)
                                        { return lost.count(host) == 0; });
    if (static_cast<std::size_t>(standing) >= m_settings.kept)
    {
        return;
    }
    if (const host_id* next = next_spare())
    {
        open(*next);
    }
}

// The first host in the order that was never lost, or the one that was lost the
// longest time ago, so that all of them are tried in turn.
const host_id* control_connections::next_spare() const
{
    const host_id* found = nullptr;
    time_point found_lost = time_point::max();
    for (const host_id& host : m_preferred)
    {
        if (m_open.count(host) != 0 || m_unreachable.count(host) != 0)
        {
            continue;
        }
        const auto known = m_last_lost.find(host);
        const time_point lost =
            known == m_last_lost.end() ? time_point::min() : known->second;
        if (lost < found_lost)
        {
            found = &host;
            found_lost = lost;
        }
    }
    return found;
}

void control_connections::open(const host_id& host)
{
    if (m_open.insert(host).second)
    {
        ++m_opened;
        // A connection that was opened before says nothing of this one.
        m_unreachable.erase(host);
    }
}

} // namespace crowlink
