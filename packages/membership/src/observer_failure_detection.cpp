#include "crowlink/membership/observer.hpp"

#include <algorithm>
#include <utility>

namespace crowlink
{

using internal::observed_record;

// Evaluates silence in three steps: marks the silent records, decides which
// whole data centres are lost, and expires the remaining silent records one by
// one, under a limit.
void observer::detect_failures(time_point now, observer_output& out)
{
    refresh_homes(now);
    m_counts.clear();
    for (auto& each : m_records)
    {
        if (each.second.record.state != upstream_state::gone)
        {
            count_silence(now, each.second);
        }
    }
    report_places(now);
    m_expiry_suspended = seems_cut_off(now);
    if (m_expiry_suspended)
    {
        m_metrics.count("membership_held_back_total");
        return;
    }
    if (m_peers.own_region_heard(now))
    {
        detect_lost_places(now, out);
    }
    expire_silent(now, out);
}

// Whether the silence is probably this host's own fault: most of its leases ran
// out while it hears less than half of its region's observers, or nearly all
// ran out while no neighbour could confirm it. All records are then kept
// unchanged.
bool observer::seems_cut_off(time_point now) const
{
    constexpr std::size_t least_leases = 3;
    std::size_t own = 0;
    std::size_t silent = 0;
    for (const auto& each : m_counts)
    {
        own += each.second.own;
        silent += each.second.own_silent;
    }
    if (!m_peers.own_region_heard(now))
    {
        return silent * 2 >= own;
    }
    const double nearly_all = m_settings.place_share * static_cast<double>(own);
    return !m_peers.neighbour_heard(now) && own >= least_leases &&
           static_cast<double>(silent) >= nearly_all;
}

void observer::refresh_homes(time_point now)
{
    const bool next_window = now - m_window_start >= m_settings.expiry_window &&
                             m_peers.own_region_heard(now);
    if (next_window)
    {
        m_window_start = now;
    }
    const std::map<host_id, home_status> before = std::move(m_homes);
    m_homes.clear();
    for (const auto& each : before)
    {
        // Homes without records are dropped.
        if (each.second.population != 0 && !next_window)
        {
            status_of(now, each.first).expired_in_window =
                each.second.expired_in_window;
        }
    }
}

observer::home_status& observer::status_of(time_point now, const host_id& home)
{
    const auto found = m_homes.find(home);
    if (found != m_homes.end())
    {
        return found->second;
    }
    home_status status;
    status.own = home == m_settings.self.id;
    status.cut = m_peers.region_cut(now, home);
    status.silent = m_peers.silent(now, home, m_settings.peer_timeout);
    const duration limit =
        status.cut ? m_settings.keep_unreachable : m_settings.orphan_grace;
    status.orphaned = m_peers.silent(now, home, limit);
    return m_homes.emplace(home, status).first->second;
}

void observer::count_silence(time_point now, observed_record& held)
{
    home_status& home = status_of(now, held.home);
    place_count& place = m_counts[held.record.where];
    const bool reported = m_peers.reports_lost(held.home, held.record.where);
    const bool unheard = home.cut ? home.orphaned : home.silent || reported;
    const bool silent = home.own ? held.lease_until < now : unheard;
    const bool suspect =
        home.own ? silent : home.orphaned || (reported && !home.cut);
    if (suspect && !held.suspect)
    {
        held.suspect_since = now;
    }
    if (suspect && m_expiry_suspended)
    {
        held.suspect_since = now + m_settings.orphan_grace;
    }
    held.suspect = suspect;
    const bool expirable = is_expirable(now, held);
    ++home.population;
    ++place.living;
    place.silent += silent ? 1 : 0;
    place.expirable += expirable ? 1 : 0;
    place.own += home.own ? 1 : 0;
    place.own_silent += home.own && silent ? 1 : 0;
}

bool observer::is_expirable(time_point now, const observed_record& held) const
{
    return held.suspect && now - held.suspect_since >= m_settings.expiry_delay;
}

// Reports the data centres of which this home lost all or nearly all leases to
// the other observers, and keeps the time at which each report began.
void observer::report_places(time_point now)
{
    for (const auto& each : m_counts)
    {
        const place_count& place = each.second;
        const double least =
            m_settings.place_share * static_cast<double>(place.own);
        const bool lost =
            place.own > 0 && static_cast<double>(place.own_silent) >= least;
        if (lost)
        {
            m_own_reports.emplace(each.first, now);
            continue;
        }
        m_own_reports.erase(each.first);
    }
}

void observer::detect_lost_places(time_point now, observer_output& out)
{
    // A sufficient share must be expirable. Otherwise the failure of an
    // observer that is home to most of a data centre's members would count as a
    // failure of the data centre.
    constexpr std::size_t expirable_divisor = 3;
    for (const auto& each : m_counts)
    {
        const place_count& place = each.second;
        const double least =
            m_settings.place_share * static_cast<double>(place.living);
        const bool silent = static_cast<double>(place.silent) >= least;
        const bool was_lost = m_lost_places.count(each.first) != 0;
        if (was_lost && !silent)
        {
            place_returned(now, each.first, out);
        }
        const bool enough = place.living >= m_settings.place_members &&
                            place.expirable * expirable_divisor >= place.living;
        if (!was_lost && silent && enough)
        {
            place_lost(now, each.first, out);
        }
    }
    const std::set<place_id> lost = m_lost_places;
    for (const place_id& where : lost)
    {
        if (m_counts.count(where) == 0)
        {
            place_returned(now, where, out);
        }
    }
}

void observer::place_lost(time_point now, const place_id& where,
                          observer_output& out)
{
    m_lost_places.insert(where);
    m_lost_since[where] = now;
    m_metrics.count("membership_places_lost_total");
    out.places.push_back(place_change{where, true});
}

// The members of a data centre that has returned get time to renew their
// leases.
void observer::place_returned(time_point now, const place_id& where,
                              observer_output& out)
{
    m_lost_places.erase(where);
    m_lost_since.erase(where);
    m_metrics.count("membership_places_back_total");
    out.places.push_back(place_change{where, false});
    for (auto& each : m_records)
    {
        if (each.second.record.where == where)
        {
            each.second.suspect_since = now + m_settings.orphan_grace;
        }
    }
}

void observer::expire_silent(time_point now, observer_output& out)
{
    for (auto each = m_records.begin(); each != m_records.end();)
    {
        if (purge(now, each->second))
        {
            forget(each->second.record);
            each = m_records.erase(each);
            continue;
        }
        if (may_expire(now, each->second))
        {
            note_expired(now, each->second);
            observed_record next = each->second;
            next.record.state = upstream_state::gone;
            next.record.expired = true;
            next.gone_at = now;
            next.suspect = false;
            const bool own = next.home == m_settings.self.id;
            store(each->second, std::move(next), out);
            m_metrics.count("membership_expired_total");
            // The records of a failed home are expired by every observer by
            // itself, so only own ones are sent.
            if (own)
            {
                m_unsent.insert(each->first);
            }
        }
        ++each;
    }
}

void observer::note_expired(time_point now, const observed_record& held)
{
    constexpr std::size_t max_kept = 256;
    if (m_expired.size() < max_kept)
    {
        m_expired.push_back(expired_lease{held.record.service, held.record.id,
                                          held.record.sequence, held.home,
                                          now - held.suspect_since});
    }
}

bool observer::purge(time_point now, const observed_record& held) const
{
    return held.record.state == upstream_state::gone &&
           now - held.gone_at >= m_settings.tombstone_life;
}

bool observer::may_expire(time_point now, const observed_record& held)
{
    const bool gone = held.record.state == upstream_state::gone;
    if (gone || !is_expirable(now, held))
    {
        return false;
    }
    home_status& home = status_of(now, held.home);
    const bool expires_here =
        home.own || (home.orphaned && m_peers.own_region_heard(now));
    if (!expires_here)
    {
        return false;
    }
    const auto lost = m_lost_since.find(held.record.where);
    if (lost != m_lost_since.end() &&
        now - lost->second < m_settings.keep_unreachable)
    {
        return false;
    }
    if (may_be_whole_place(now, held.record.where))
    {
        return false;
    }
    return within_cap(now, held, home);
}

// Whether a data centre that this home reports may still turn out to be lost.
// The other homes have some time to report it, too, and twice as long if half
// of the data centre's members are silent.
bool observer::may_be_whole_place(time_point now, const place_id& where) const
{
    const auto report = m_own_reports.find(where);
    const auto place = m_counts.find(where);
    if (report == m_own_reports.end() || place == m_counts.end() ||
        place->second.living < m_settings.place_members)
    {
        return false;
    }
    const bool half = place->second.silent * 2 >= place->second.living;
    const duration wait = m_settings.report_wait * (half ? 2 : 1);
    return now - report->second < wait;
}

bool observer::within_cap(time_point now, const observed_record& held,
                          home_status& status) const
{
    const duration confirmed =
        m_settings.expiry_delay + m_settings.confirm_after;
    if (now - held.suspect_since >= confirmed && m_peers.own_region_heard(now))
    {
        return true;
    }
    const auto share = static_cast<std::size_t>(
        m_settings.expiry_share * static_cast<double>(status.population));
    if (status.expired_in_window >= std::max(share, m_settings.expiry_minimum))
    {
        return false;
    }
    ++status.expired_in_window;
    return true;
}

} // namespace crowlink
