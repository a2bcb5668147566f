#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/membership/connection_settings.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace crowlink
{

// Chooses to which control hosts a node keeps connections. The load it answers:
// thousands of nodes, each of which would otherwise hold a connection with
// heartbeats to every control host, and try to connect to every one that is
// down. The caller calls update in each tick, and opens and closes what
// differs.
class control_connections
{
public:
    explicit control_connections(connection_settings settings)
        : m_settings(settings)
    {
    }

    // Replaces the control hosts, given in the node's order of preference.
    void set_hosts(std::vector<host_id> preferred);

    // Takes in which hosts the node uses and which open connections are lost.
    // Returns the hosts to be connected to: at most one more than before that
    // is not in use.
    const std::set<host_id>& update(time_point now,
                                    const std::set<host_id>& used,
                                    const std::set<host_id>& lost);

    // The hosts that the node should not turn to at present.
    std::set<host_id> unreachable() const;

    // Connections opened so far.
    std::uint64_t opened() const { return m_opened; }

private:
    bool connects_to_all() const;
    void note_lost(time_point now, const std::set<host_id>& lost);
    void release_unused(time_point now, const std::set<host_id>& used);
    void add_spare(const std::set<host_id>& lost);
    const host_id* next_spare() const;
    void open(const host_id& host);

    connection_settings m_settings;
    std::vector<host_id> m_preferred;
    std::set<host_id> m_open;
    // When each open connection was last in use.
    std::map<host_id, time_point> m_last_used;
    // The hosts that count as unreachable, until when.
    std::map<host_id, time_point> m_unreachable;
    // When the last connection to each host was lost.
    std::map<host_id, time_point> m_last_lost;
    std::uint64_t m_opened = 0;
};

} // namespace crowlink
