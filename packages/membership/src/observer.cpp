#include "crowlink/membership/observer.hpp"

#include "member_codec.hpp"

#include <algorithm>
#include <utility>

namespace crowlink
{

using internal::observed_record;
using internal::record_key;

namespace
{

wire::membership_message answer(const wire::announcement_answer& body)
{
    wire::membership_message message;
    *message.mutable_answer() = body;
    return message;
}

template <class Request>
wire::announcement_answer answer_to(const Request& request)
{
    wire::announcement_answer out;
    out.set_service(request.service());
    out.set_id(request.id());
    out.set_started(request.started());
    out.set_sequence(request.sequence());
    return out;
}

} // namespace

observer_output refuse_announcement(const host_id& from,
                                    const wire::membership_message& in)
{
    auto body = in.has_announce() ? answer_to(in.announce().record())
                                  : answer_to(in.renew());
    body.set_status(wire::ANNOUNCEMENT_FORBIDDEN);
    observer_output out;
    out.sends.push_back(membership_send{from, answer(body)});
    return out;
}

observer::observer(observer_settings settings, time_point now)
    : m_settings(std::move(settings))
    , m_peers(m_settings, now)
    , m_window_start(now)
    , m_started(now)
    , m_last_tick(now)
    , m_next_heartbeat(now)
    , m_next_digest(now)
    , m_next_digest_request(now)
    , m_next_detection(now)
    , m_ready(m_settings.peers.empty())
{
}

void observer::set_peers(time_point now, std::vector<observer_info> peers)
{
    m_settings.peers = std::move(peers);
    m_peers.set_peers(now, m_settings.peers);
}

const upstream_record* observer::find(service_id service,
                                      const upstream_id& id) const
{
    const auto found = m_records.find(record_key{service, id});
    return found == m_records.end() ? nullptr : &found->second.record;
}

std::size_t observer::leases() const
{
    const auto own = m_homes.find(m_settings.self.id);
    return own == m_homes.end() ? 0 : own->second.population;
}

std::vector<region_age> observer::cut_regions(time_point now) const
{
    return m_peers.cut_regions(now);
}

observer_output observer::handle(time_point now, const host_id& from,
                                 const wire::membership_message& in)
{
    observer_output out;
    if (in.has_announce())
    {
        handle_announcement(now, from, in.announce(), out);
        return out;
    }
    if (in.has_renew())
    {
        handle_renewal(now, from, in.renew(), out);
        return out;
    }
    if (!m_peers.is_known(from))
    {
        m_metrics.count("membership_strangers_total");
        return out;
    }
    if (in.has_changes())
    {
        handle_changes(now, in.changes(), out);
    }
    else if (in.has_heartbeat())
    {
        const bool was_silent = m_peers.silent_directly(now, from);
        handle_heartbeat(now, from, in.heartbeat());
        if (was_silent)
        {
            send_digest(from, false, out);
        }
    }
    else if (in.has_digest())
    {
        handle_digest(now, from, in.digest(), out);
    }
    return out;
}

void observer::handle_announcement(time_point now, const host_id& from,
                                   const wire::announcement& in,
                                   observer_output& out)
{
    const auto record = internal::read_member(in.record(), in.places());
    if (!record)
    {
        m_metrics.count("membership_malformed_total");
        return;
    }
    auto body = answer_to(in.record());
    observed_record next;
    next.record = *record;
    next.home = m_settings.self.id;
    next.lease_until = now + m_settings.lease;
    next.gone_at = now;
    const auto held = m_records.find(internal::key_of(*record));
    if (!is_gone(*record))
    {
        end_predecessor(now, *record, out);
    }
    if (merge(next, out))
    {
        m_unsent.insert(internal::key_of(*record));
    }
    else if (held == m_records.end())
    {
        m_metrics.count("membership_table_full_total");
        return;
    }
    else if (!same_version(held->second.record, *record))
    {
        body.set_status(wire::ANNOUNCEMENT_OLDER);
        body.set_newest_started(held->second.record.started.value());
    }
    else if (is_gone(held->second.record) != is_gone(*record) ||
             held->second.home != m_settings.self.id)
    {
        body.set_status(wire::ANNOUNCEMENT_UNKNOWN);
    }
    else
    {
        held->second.lease_until = now + m_settings.lease;
    }
    body.set_isolated(m_peers.isolated(now));
    out.sends.push_back(membership_send{from, answer(body)});
}

void observer::handle_renewal(time_point now, const host_id& from,
                              const wire::renewal& in, observer_output& out)
{
    auto body = answer_to(in);
    const record_key key{service_id(in.service()), upstream_id(in.id())};
    const auto held = m_records.find(key);
    const bool holds = held != m_records.end() &&
                       held->second.home == m_settings.self.id &&
                       !is_gone(held->second.record) &&
                       held->second.record.started.value() == in.started() &&
                       held->second.record.sequence == in.sequence();
    if (holds)
    {
        held->second.lease_until = now + m_settings.lease;
    }
    else if (held != m_records.end() &&
             held->second.record.started.value() > in.started())
    {
        body.set_status(wire::ANNOUNCEMENT_OLDER);
        body.set_newest_started(held->second.record.started.value());
    }
    else
    {
        body.set_status(wire::ANNOUNCEMENT_UNKNOWN);
    }
    body.set_isolated(m_peers.isolated(now));
    out.sends.push_back(membership_send{from, answer(body)});
}

observer_output observer::tick(time_point now)
{
    observer_output out;
    extend_leases_after_pause(now);
    m_last_tick = now;
    send_changes(out);
    if (now >= m_next_heartbeat)
    {
        m_next_heartbeat = now + m_settings.heartbeat_interval;
        send_heartbeats(now, out);
    }
    if (now >= m_next_digest)
    {
        m_next_digest = now + m_settings.digest_interval;
        send_next_digest(out);
    }
    if (!m_ready && now >= m_next_digest_request)
    {
        request_digests(now, out);
    }
    if (now >= m_next_detection)
    {
        m_next_detection = now + m_settings.detection_interval;
        detect_failures(now, out);
    }
    if (now - m_started > m_settings.start_grace && !m_peers.any_heard())
    {
        m_ready = true;
    }
    return out;
}

// After a pause of this process all leases are extended: that some ran out
// during the pause shows nothing, since the renewals may have been lost.
void observer::extend_leases_after_pause(time_point now)
{
    if (now - m_last_tick <= m_settings.lease / 2)
    {
        return;
    }
    m_metrics.count("membership_pauses_total");
    m_peers.restart_timeouts(now);
    for (auto& each : m_records)
    {
        time_point& until = each.second.lease_until;
        until =
            std::max(until, now + m_settings.lease + m_settings.orphan_grace);
    }
}

} // namespace crowlink
