#include "crowlink/membership/observer.hpp"

#include "change_batch.hpp"
#include "member_codec.hpp"

#include <algorithm>
#include <utility>

namespace crowlink
{

using internal::observed_record;
using internal::record_key;

void observer::handle_changes(time_point now, const wire::observer_changes& in,
                              observer_output& out)
{
    for (const wire::member& member : in.members())
    {
        const auto record = internal::read_member(member, in.places());
        if (!record || member.home() >= static_cast<std::uint32_t>(
                                            std::max(0, in.homes_size())))
        {
            m_metrics.count("membership_malformed_total");
            continue;
        }
        const std::chrono::seconds gone_for(member.gone_for());
        if (record->state == upstream_state::gone &&
            gone_for >= m_settings.tombstone_life)
        {
            continue;
        }
        observed_record next;
        next.record = *record;
        next.home = host_id(in.homes(static_cast<int>(member.home())));
        next.gone_at = now - gone_for;
        // A record of this home that a restart lost has no lease here yet. Its
        // announcer renews it within this time.
        next.lease_until = now + m_settings.lease + m_settings.orphan_grace;
        merge(std::move(next), out);
    }
}

void observer::handle_heartbeat(time_point now, const host_id& from,
                                const wire::observer_heartbeat& in)
{
    std::vector<host_id> heard;
    for (const std::string& name : in.heard())
    {
        heard.emplace_back(name);
    }
    std::set<place_id> lost;
    for (const wire::place_report& report : in.reports())
    {
        if (report.lost())
        {
            lost.emplace(report.place());
        }
    }
    m_peers.heard(now, from, heard, std::move(lost));
}

void observer::send_changes(observer_output& out)
{
    internal::change_batch batch(m_settings.records_per_message);
    for (const record_key& key : m_unsent)
    {
        const auto found = m_records.find(key);
        if (found != m_records.end())
        {
            batch.add(found->second, m_last_tick);
        }
    }
    m_unsent.clear();
    const auto messages = batch.take();
    for (const observer_info& peer : m_settings.peers)
    {
        for (const wire::membership_message& message : messages)
        {
            out.sends.push_back(membership_send{peer.id, message});
        }
    }
}

void observer::send_heartbeats(time_point now, observer_output& out) const
{
    wire::membership_message message;
    auto& body = *message.mutable_heartbeat();
    for (const host_id& each : m_peers.directly_heard(now))
    {
        body.add_heard(each.value());
    }
    for (const auto& report : m_own_reports)
    {
        auto& to = *body.add_reports();
        to.set_place(report.first.value());
        to.set_lost(true);
    }
    for (const observer_info& peer : m_settings.peers)
    {
        out.sends.push_back(membership_send{peer.id, message});
    }
}

void observer::send_next_digest(observer_output& out)
{
    if (m_settings.peers.empty())
    {
        return;
    }
    m_next_peer = (m_next_peer + 1) % m_settings.peers.size();
    send_digest(m_settings.peers[m_next_peer].id, false, out);
}

void observer::request_digests(time_point now, observer_output& out)
{
    m_next_digest_request = now + m_settings.start_digest_interval;
    for (const observer_info& peer : m_settings.peers)
    {
        send_digest(peer.id, true, out);
    }
}

// After a simultaneous restart of all observers none has records to learn from,
// so a majority of observers with equal digests is taken as complete. Two
// observers that restart beside a third one may agree on incomplete records
// until its records arrive one round trip later.
void observer::note_equal_digest(const host_id& from, bool is_ready)
{
    m_agreeing.insert(from);
    const std::size_t agreeing = m_agreeing.size() + 1;
    const std::size_t all = m_settings.peers.size() + 1;
    m_ready = m_ready || is_ready || agreeing * 2 > all;
}

void observer::send_digest(const host_id& to, bool asks,
                           observer_output& out) const
{
    wire::membership_message message;
    auto& body = *message.mutable_digest();
    body.set_asks(asks);
    body.set_ready(m_ready);
    body.set_expired(m_expired_digest);
    for (const std::uint64_t bucket : m_digests.buckets())
    {
        body.add_buckets(bucket);
    }
    out.sends.push_back(membership_send{to, std::move(message)});
}

void observer::handle_digest(time_point now, const host_id& from,
                             const wire::observer_digest& in,
                             observer_output& out)
{
    if (in.buckets_size() != static_cast<int>(m_digests.buckets().size()))
    {
        m_metrics.count("membership_malformed_total");
        return;
    }
    const bool same_living = std::equal(
        in.buckets().begin(), in.buckets().end(), m_digests.buckets().begin());
    const bool same_expired =
        !in.has_expired() || in.expired() == m_expired_digest;
    if (same_living && same_expired)
    {
        note_equal_digest(from, in.ready());
    }
    else
    {
        m_agreeing.erase(from);
        m_metrics.count("membership_digest_differences_total");
        same_living ? send_gone(now, from, out)
                    : send_differing(now, from, in, out);
    }
    if (in.asks())
    {
        // Sent after the records, so that the asker has them when it compares.
        send_digest(from, false, out);
    }
}

void observer::send_differing(time_point now, const host_id& to,
                              const wire::observer_digest& in,
                              observer_output& out)
{
    const auto chosen = buckets_to_send(in);
    internal::change_batch batch(m_settings.records_per_message);
    for (const auto& each : m_records)
    {
        if (chosen[each.second.bucket])
        {
            batch.add(each.second, now);
        }
    }
    send_batch(batch, to, out);
}

// Sends the gone records, up to the limit of one reply. Those whose end was
// announced are included, since the peer may hold one of them as expired.
void observer::send_gone(time_point now, const host_id& to,
                         observer_output& out) const
{
    std::size_t left =
        m_settings.records_per_message * m_settings.messages_per_digest;
    internal::change_batch batch(m_settings.records_per_message);
    for (const auto& each : m_records)
    {
        if (each.second.record.state == upstream_state::gone && left > 0)
        {
            batch.add(each.second, now);
            --left;
        }
    }
    send_batch(batch, to, out);
}

void observer::send_batch(internal::change_batch& batch, const host_id& to,
                          observer_output& out)
{
    for (wire::membership_message& message : batch.take())
    {
        out.sends.push_back(membership_send{to, std::move(message)});
    }
}

// Chooses as many differing buckets as one reply may hold, starting after the
// last one chosen before, so that a large difference is repaired over several
// digests.
std::vector<bool> observer::buckets_to_send(const wire::observer_digest& in)
{
    constexpr std::size_t all = internal::digest_table::bucket_count;
    const std::size_t records =
        m_settings.records_per_message * m_settings.messages_per_digest;
    std::size_t left = std::max<std::size_t>(
        1, records * all / std::max<std::size_t>(1, m_records.size()));
    std::vector<bool> chosen(all, false);
    for (std::size_t step = 0; step < all && left > 0; ++step)
    {
        const std::size_t bucket = (m_first_bucket + step) % all;
        if (in.buckets(static_cast<int>(bucket)) != m_digests.buckets()[bucket])
        {
            chosen[bucket] = true;
            --left;
        }
        if (left == 0)
        {
            m_first_bucket = bucket + 1;
        }
    }
    return chosen;
}

} // namespace crowlink
