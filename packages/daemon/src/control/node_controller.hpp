#pragma once

#include "control/belief_log.hpp"
#include "control/blackboard.hpp"
#include "control/control_links.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/membership/announcer.hpp"
#include "crowlink/membership/control_connections.hpp"
#include "crowlink/membership/subscriber.hpp"

#include <optional>
#include <set>
#include <vector>

namespace crowlink::internal
{

// A node's side of control: keeps the leases of its balancer and upstreams, and
// puts the views of services on the blackboard.
class node_controller
{
public:
    // The records are those of the balancer and upstreams of this daemon, as
    // they are to be announced first.
    node_controller(const daemon_settings& settings, control_links& links,
                    log_sink& log, std::vector<upstream_record> records,
                    std::uint64_t seed, time_point now);

    void handle(time_point now, const inbound_message& message,
                blackboard& board);
    void advance(time_point now, blackboard& board);

    const subscriber& subscribed() const { return m_subscriber; }
    const control_connections& connections() const { return m_connections; }
    // The control hosts that control named last.
    const std::vector<host_id>& learned() const { return m_learned; }
    // Another control host is there, by its own word.
    void introduce(const host_id& host);
    // Whether every record was announced as it is now.
    bool settled() const;

private:
    void send(time_point now, const std::vector<membership_send>& sends);
    void take(time_point now, const subscriber_output& out, blackboard& board);
    void publish_entry_hosts(time_point now, blackboard& board);
    bool is_current(time_point now) const;
    void change_records(time_point now, const blackboard& board);
    void follow_connections(time_point now);
    void keep_connections(time_point now);
    void follow_better_publisher(time_point now, blackboard& board);
    std::set<host_id> used_hosts(time_point now) const;
    std::vector<host_id> preferred_hosts() const;
    void follow_hosts(time_point now, const blackboard& board);
    std::vector<observer_info>
    infos_of(const std::vector<host_id>& hosts) const;
    void add_announcers(time_point now, const blackboard& board);
    announcer* find(std::uint32_t service, const std::string& id);

    control_links& m_links;
    log_sink& m_log;
    belief_log m_beliefs;
    subscriber m_subscriber;
    announcer_settings m_announcing;
    control_connections m_connections;
    std::uint64_t m_seed;
    place_id m_where;
    bool m_shares_rotation;
    // Control that was not confirmed for longer is stale for the rotation.
    duration m_longest_age;
    std::optional<std::uint64_t> m_balancers_revision;
    // The control hosts that control named last.
    std::vector<host_id> m_learned;
    // The control hosts that the subscriber was told are unreachable.
    std::set<host_id> m_unreachable_hosts;
    bool m_is_hosts_due = false;
    board_reader<std::vector<host_id>> m_seeds;
    std::vector<announcer> m_announcers;
    board_reader<wanted_records> m_wanted;
    board_reader<unreachable_places> m_unreachable;
    board_reader<stop_phase> m_phase;
};

} // namespace crowlink::internal
