#include "crowlink/membership/peer_liveness.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::internal
{

peer_liveness::peer_liveness(const observer_settings& settings, time_point now)
    : m_self(settings.self.id)
    , m_region(settings.self.region)
    , m_timeout(settings.peer_timeout)
{
    for (const observer_info& each : settings.peers)
    {
        m_peers.emplace(each.id, known_peer{each, now, now, now, {}});
    }
}

void peer_liveness::set_peers(time_point now,
                              const std::vector<observer_info>& peers)
{
    std::map<host_id, known_peer> kept;
    for (const observer_info& each : peers)
    {
        const auto found = m_peers.find(each.id);
        kept.emplace(each.id, found == m_peers.end()
                                  ? known_peer{each, now, now, now, {}}
                                  : found->second);
    }
    m_peers = std::move(kept);
}

time_point peer_liveness::latest(const known_peer& value)
{
    return std::max(value.direct, value.indirect);
}

void peer_liveness::heard(time_point now, const host_id& from,
                          const std::vector<host_id>& heard_by_it,
                          std::set<place_id> lost_places)
{
    const auto found = m_peers.find(from);
    if (found == m_peers.end())
    {
        return;
    }
    m_any_heard = true;
    found->second.direct = now;
    found->second.lost_places = std::move(lost_places);
    for (const host_id& each : heard_by_it)
    {
        if (each == m_self)
        {
            found->second.hears_this = now;
        }
        const auto other = m_peers.find(each);
        if (other != m_peers.end())
        {
            other->second.indirect = now;
        }
    }
}

bool peer_liveness::silent(time_point now, const host_id& peer,
                           duration time) const
{
    if (peer == m_self)
    {
        return false;
    }
    const auto found = m_peers.find(peer);
    // A home that is no longer configured does not come back.
    return found == m_peers.end() || now - latest(found->second) > time;
}

bool peer_liveness::silent_directly(time_point now, const host_id& peer) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() && now - found->second.direct > m_timeout;
}

bool peer_liveness::region_cut(time_point now, const host_id& peer) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || found->second.info.region == m_region)
    {
        return false;
    }
    return now - region_heard(peer) > m_timeout;
}

time_point peer_liveness::region_heard(const host_id& peer) const
{
    const region_id& region = m_peers.at(peer).info.region;
    time_point newest{};
    for (const auto& each : m_peers)
    {
        if (each.second.info.region == region)
        {
            newest = std::max(newest, latest(each.second));
        }
    }
    return newest;
}

bool peer_liveness::reports_lost(const host_id& peer,
                                 const place_id& where) const
{
    const auto found = m_peers.find(peer);
    return found != m_peers.end() &&
           found->second.lost_places.count(where) != 0;
}

std::size_t peer_liveness::neighbours_heard(time_point now) const
{
    std::size_t heard = 0;
    for (const auto& each : m_peers)
    {
        const bool is_neighbour = each.second.info.region == m_region;
        heard += is_neighbour && now - each.second.direct <= m_timeout ? 1 : 0;
    }
    return heard;
}

bool peer_liveness::neighbour_heard(time_point now) const
{
    return neighbours_heard(now) > 0;
}

bool peer_liveness::is_half_of_region(std::size_t observers) const
{
    std::size_t all = 1;
    for (const auto& each : m_peers)
    {
        all += each.second.info.region == m_region ? 1 : 0;
    }
    return observers * 2 >= all;
}

bool peer_liveness::own_region_heard(time_point now) const
{
    return is_half_of_region(neighbours_heard(now) + 1);
}

bool peer_liveness::isolated(time_point now) const
{
    std::size_t hearing = 1;
    for (const auto& each : m_peers)
    {
        const bool is_neighbour = each.second.info.region == m_region;
        hearing +=
            is_neighbour && now - each.second.hears_this <= m_timeout ? 1 : 0;
    }
    return !is_half_of_region(hearing);
}

std::vector<host_id> peer_liveness::directly_heard(time_point now) const
{
    std::vector<host_id> out;
    for (const auto& each : m_peers)
    {
        if (now - each.second.direct <= m_timeout)
        {
            out.push_back(each.first);
        }
    }
    return out;
}

std::vector<region_age> peer_liveness::cut_regions(time_point now) const
{
    std::map<region_id, duration> ages;
    for (const auto& each : m_peers)
    {
        if (region_cut(now, each.first))
        {
            ages[each.second.info.region] = now - region_heard(each.first);
        }
    }
    std::vector<region_age> out;
    out.reserve(ages.size());
    for (const auto& each : ages)
    {
        out.push_back(region_age{each.first, each.second});
    }
    return out;
}

void peer_liveness::restart_timeouts(time_point now)
{
    for (auto& each : m_peers)
    {
        each.second.indirect = now;
        each.second.hears_this = now;
    }
}

} // namespace crowlink::internal
