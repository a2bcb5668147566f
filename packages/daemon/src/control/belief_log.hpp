#pragma once

#include "crowlink/base/log_sink.hpp"
#include "crowlink/membership/announcer.hpp"
#include "crowlink/membership/subscriber.hpp"

#include <map>
#include <set>
#include <vector>

namespace crowlink::internal
{

// Logs what a node holds to be true of control and of members, a line for each
// change.
class belief_log
{
public:
    explicit belief_log(log_sink& log) : m_log(log) {}

    // Writes what differs from the call before.
    void tell(subscriber& subscribed, const std::vector<announcer>& announcers);

private:
    // Whose stream this node takes.
    void tell_publisher(const subscriber& subscribed);
    void tell_evacuations(const subscribed_state& known);
    void tell_lost(const std::vector<lost_member>& lost);
    void tell_returned(const std::vector<returned_member>& returned);
    // Which control host holds each lease.
    void tell_homes(const std::vector<announcer>& announcers);
    void tell_version(config_version in_force);

    log_sink& m_log;
    // Empty for nobody's.
    host_id m_serving;
    std::set<place_id> m_evacuated;
    std::map<upstream_id, host_id> m_homes;
    config_version m_version;
};

} // namespace crowlink::internal
