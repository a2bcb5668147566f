#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/observer_settings.hpp"
#include "crowlink/membership/region_age.hpp"

#include <map>
#include <set>
#include <vector>

namespace crowlink::internal
{

// Tracks the liveness of the other observers: when each was last heard,
// directly or by an observer that is heard, and which data centres each reports
// as lost.
class peer_liveness
{
public:
    peer_liveness(const observer_settings& settings, time_point now);

    // Replaces the set of peers. A new one counts as just heard.
    void set_peers(time_point now, const std::vector<observer_info>& peers);

    bool is_known(const host_id& peer) const
    {
        return m_peers.count(peer) != 0;
    }

    // Applies a peer's heartbeat. Unknown observers in its list are ignored.
    void heard(time_point now, const host_id& from,
               const std::vector<host_id>& heard_by_it,
               std::set<place_id> lost_places);

    // Whether neither this observer nor an observer that it hears has heard the
    // peer within the time. This observer itself is never silent.
    bool silent(time_point now, const host_id& peer, duration time) const;

    // Whether this observer did not hear the peer directly within the timeout.
    bool silent_directly(time_point now, const host_id& peer) const;

    // Whether every observer of the peer's region is silent, for regions other
    // than the own one.
    bool region_cut(time_point now, const host_id& peer) const;

    // When any observer of the peer's region was last heard.
    time_point region_heard(const host_id& peer) const;

    bool reports_lost(const host_id& peer, const place_id& where) const;

    // Whether at least half of the own region's observers, including this one,
    // are heard.
    bool own_region_heard(time_point now) const;

    // Whether fewer than half of the own region's observers, including this
    // one, have confirmed within the timeout that they hear this one.
    bool isolated(time_point now) const;

    // Whether another observer of the own region is heard directly.
    bool neighbour_heard(time_point now) const;

    bool any_heard() const { return m_any_heard; }

    // The peers that were heard directly within the timeout.
    std::vector<host_id> directly_heard(time_point now) const;

    std::vector<region_age> cut_regions(time_point now) const;

    // Counts every peer as just heard indirectly, and this observer as just
    // heard by every peer. After a pause of the own process the silence of
    // others shows nothing.
    void restart_timeouts(time_point now);

private:
    struct known_peer
    {
        observer_info info;
        time_point direct{};
        time_point indirect{};
        // When its heartbeat last listed this observer as heard.
        time_point hears_this{};
        std::set<place_id> lost_places;
    };

    static time_point latest(const known_peer& value);
    std::size_t neighbours_heard(time_point now) const;
    bool is_half_of_region(std::size_t observers) const;

    host_id m_self;
    region_id m_region;
    duration m_timeout;
    std::map<host_id, known_peer> m_peers;
    bool m_any_heard = false;
};

} // namespace crowlink::internal
