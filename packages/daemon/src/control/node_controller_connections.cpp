#include "control/node_controller.hpp"

#include <algorithm>

// The control hosts that a node knows, and its connections to them.

namespace crowlink::internal
{

// Before the subscriber's tick, which chooses among the hosts that are not
// unreachable.
void node_controller::follow_connections(time_point now)
{
    keep_connections(now);
    const std::set<host_id> unreachable = m_connections.unreachable();
    for (const host_id& host : m_unreachable_hosts)
    {
        if (unreachable.count(host) == 0)
        {
            m_subscriber.connection_made(now, host);
        }
    }
    for (const host_id& host : unreachable)
    {
        m_subscriber.connection_lost(now, host);
    }
    m_unreachable_hosts = unreachable;
}

void node_controller::follow_better_publisher(time_point now, blackboard& board)
{
    const auto better = m_subscriber.better_publisher(now);
    if (better && m_links.is_control_connected(*better))
    {
        take(now, m_subscriber.move_to(now, *better), board);
    }
}

void node_controller::keep_connections(time_point now)
{
    m_links.set_control(
        m_connections.update(now, used_hosts(now), m_links.lost_control()));
}

// The publisher, the one that is to follow it, and the homes of the records.
std::set<host_id> node_controller::used_hosts(time_point now) const
{
    std::set<host_id> used;
    if (m_subscriber.order().empty())
    {
        return used;
    }
    used.insert(m_subscriber.source());
    if (const auto better = m_subscriber.better_publisher(now))
    {
        used.insert(*better);
    }
    for (const announcer& each : m_announcers)
    {
        used.insert(each.home());
    }
    return used;
}

// Asks those that control itself named; the seeds help while nobody has, or
// where all of those are gone.
void node_controller::follow_hosts(time_point now, const blackboard& board)
{
    m_is_hosts_due = false;
    const std::vector<host_id>& seeds = board.seeds.get();
    if (seeds.empty())
    {
        // The settings name all hosts.
        return;
    }
    std::set<host_id> all(m_learned.begin(), m_learned.end());
    all.insert(seeds.begin(), seeds.end());
    std::vector<observer_info> hosts =
        infos_of(std::vector<host_id>(all.begin(), all.end()));
    m_announcing.observers = m_learned.empty() ? hosts : infos_of(m_learned);
    for (announcer& each : m_announcers)
    {
        each.set_observers(m_announcing.observers);
    }
    m_subscriber.set_publishers(now, std::move(hosts));
    m_connections.set_hosts(preferred_hosts());
    keep_connections(now);
}

// Hosts that control named come before those that only the settings name.
std::vector<host_id> node_controller::preferred_hosts() const
{
    std::vector<host_id> hosts = m_subscriber.order();
    std::stable_partition(hosts.begin(), hosts.end(),
                          [this](const host_id& host)
                          {
                              return std::find(m_learned.begin(),
                                               m_learned.end(),
                                               host) != m_learned.end();
                          });
    return hosts;
}

std::vector<observer_info>
node_controller::infos_of(const std::vector<host_id>& hosts) const
{
    std::vector<observer_info> infos;
    infos.reserve(hosts.size());
    for (const host_id& host : hosts)
    {
        infos.push_back(observer_info{host, m_where, m_announcing.region});
    }
    return infos;
}

} // namespace crowlink::internal
