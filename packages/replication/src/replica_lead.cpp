#include "replica_core.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace crowlink::replication::internal
{

peer_progress* replica_core::find_peer(const replica_message& message)
{
    if (message.term > m_state.term &&
        members().contains(message.from, message.from_disk))
    {
        become_follower(message.term, host_id(),
                        "another host is in a higher term");
        return nullptr;
    }
    if (m_role != replica_role::leader || message.term != m_state.term)
    {
        return nullptr;
    }
    const auto found = m_peers.find(message.from);
    if (found == m_peers.end())
    {
        return nullptr;
    }
    // An acknowledgement from another disk says nothing about this one.
    const bool same = found->second.disk == message.from_disk;
    return same || !m_rules.check_disk ? &found->second : nullptr;
}

void replica_core::record_contact(peer_progress& peer, std::int64_t sent_at)
{
    const time_point sent{duration(sent_at)};
    if (!peer.contact || *peer.contact < sent)
    {
        peer.contact = sent;
    }
    if (sent >= peer.data_sent)
    {
        peer.awaiting_reply = false;
    }
}

void replica_core::on(const replica_message& message, const append_reply& body)
{
    peer_progress* peer = find_peer(message);
    if (peer == nullptr)
    {
        return;
    }
    record_contact(*peer, body.sent_at);
    const log_index wanted =
        std::clamp<log_index>(body.next_index, 1, m_log.last_index() + 1);
    if (!body.accepted)
    {
        peer->next = wanted;
        replicate(message.from, *peer);
        return;
    }
    peer->match =
        std::max(peer->match, std::min(body.match_index, m_log.last_index()));
    peer->next = std::max(wanted, peer->match + 1);
    if (peer->sent_snapshot && peer->next > peer->sent_snapshot->index)
    {
        peer->sent_snapshot.reset();
    }
    advance_commit();
    if (m_role != replica_role::leader)
    {
        return;
    }
    promote_joining(message.from, *peer);
    replicate(message.from, *peer);
}

void replica_core::on(const replica_message& message,
                      const snapshot_reply& body)
{
    peer_progress* peer = find_peer(message);
    if (peer == nullptr)
    {
        return;
    }
    record_contact(*peer, body.sent_at);
    if (peer->sent_snapshot && peer->sent_snapshot->index == body.index)
    {
        peer->offset = std::min<std::uint64_t>(
            body.next_offset, peer->sent_snapshot->data->size());
    }
    replicate(message.from, *peer);
}

void replica_core::leader_tick()
{
    const std::optional<time_point> contact = quorum_contact(m_now);
    const time_point heard =
        std::max(contact.value_or(m_leader_since), m_leader_since);
    if (m_now - heard >= m_settings.election_timeout + paused_since(heard))
    {
        become_follower(m_state.term, host_id(),
                        "lost contact with the quorum");
        return;
    }
    if (m_queue.stalled(m_now, m_settings.storage_stall_timeout) &&
        holds_up_quorum())
    {
        become_follower(m_state.term, host_id(), "own storage does not answer");
        return;
    }
    admit_observer();
    send_hello_to_non_members();
    for (auto& [host, peer] : m_peers)
    {
        if (m_now - peer.last_sent < m_settings.heartbeat_interval)
        {
            continue;
        }
        // While a reply is outstanding, the heartbeat carries no entries; its
        // reply shows which data to send again.
        if (peer.awaiting_reply)
        {
            send_entries(host, peer, false);
            continue;
        }
        send_entries(host, peer, true);
    }
}

// Whether a quorum without this host has stored entries that wait for the
// storage of this host. Another leader would commit them; where the other disks
// are as slow, an election would only cost more writes.
bool replica_core::holds_up_quorum() const
{
    std::size_t ahead = 0;
    for (const member& one : members().members())
    {
        const auto peer = m_peers.find(one.host);
        const bool counts = one.role == member_role::voter &&
                            peer != m_peers.end() &&
                            peer->second.match > m_queue.durable_index();
        ahead += counts ? 1 : 0;
    }
    return ahead >= members().quorum();
}

void replica_core::replicate(const host_id& host, peer_progress& peer)
{
    const bool behind =
        peer.next <= m_log.last_index() || peer.commit_sent < m_state.commit;
    if (behind && !peer.awaiting_reply)
    {
        send_entries(host, peer, true);
    }
}

void replica_core::send_entries(const host_id& host, peer_progress& peer,
                                bool with_entries)
{
    const bool compacted = peer.next <= m_log.base_index();
    if (compacted && with_entries)
    {
        send_chunk(host, peer);
        return;
    }
    // Compacted entries are committed, so that index 0 matches on every peer.
    const log_index previous = compacted ? 0 : peer.next - 1;
    append_request request;
    request.previous_index = previous;
    request.previous_term = m_log.term_at(previous).value_or(0);
    request.commit = m_state.commit;
    request.sent_at = m_now.time_since_epoch().count();
    if (with_entries)
    {
        request.entries = m_log.read(peer.next, m_settings.max_append_bytes);
    }
    if (!request.entries.empty())
    {
        peer.awaiting_reply = true;
        peer.data_sent = m_now;
    }
    peer.commit_sent = m_state.commit;
    peer.last_sent = m_now;
    send(host, peer.disk, std::move(request));
}

void replica_core::send_chunk(const host_id& host, peer_progress& peer)
{
    if (!peer.sent_snapshot || peer.sent_snapshot->index < m_log.base_index())
    {
        peer.sent_snapshot = m_snapshot;
        peer.offset = 0;
    }
    const snapshot& taken = *peer.sent_snapshot;
    const std::size_t size = std::min<std::size_t>(
        m_settings.snapshot_chunk_bytes, taken.data->size() - peer.offset);
    snapshot_chunk chunk{taken.index,
                         taken.term,
                         taken.members,
                         peer.offset,
                         taken.data->size(),
                         taken.data->substr(peer.offset, size),
                         m_now.time_since_epoch().count()};
    peer.awaiting_reply = true;
    peer.data_sent = m_now;
    peer.last_sent = m_now;
    send(host, peer.disk, std::move(chunk));
}

void replica_core::replicate_all()
{
    for (auto& [host, peer] : m_peers)
    {
        replicate(host, peer);
    }
}

void replica_core::advance_commit()
{
    std::vector<log_index> matches;
    for (const member& one : members().members())
    {
        if (one.role != member_role::voter)
        {
            continue;
        }
        const auto peer = m_peers.find(one.host);
        const bool own = one.host == m_settings.self && one.disk == m_disk;
        matches.push_back(own                     ? m_queue.durable_index()
                          : peer != m_peers.end() ? peer->second.match
                                                  : 0);
    }
    if (matches.empty())
    {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    // The leader applies only entries that are durable on its own disk.
    const log_index reached =
        std::min(matches[members().quorum() - 1], m_queue.durable_index());
    if (reached <= m_state.commit || m_log.term_at(reached) != m_state.term)
    {
        return;
    }
    for (log_index index = m_state.commit + 1; index <= reached; ++index)
    {
        m_uncommitted_bytes -= m_log.at(index).payload.size();
    }
    m_state.commit = reached;
    apply_committed();
    replicate_all();
    if (!is_voter() && can_change_membership())
    {
        become_follower(m_state.term, host_id(), "no longer has a vote");
    }
}

std::optional<time_point> replica_core::quorum_contact(time_point now) const
{
    std::vector<time_point> contacts;
    for (const member& one : members().members())
    {
        const auto peer = m_peers.find(one.host);
        const bool own = one.host == m_settings.self && one.disk == m_disk;
        if (one.role != member_role::voter)
        {
            continue;
        }
        if (own)
        {
            contacts.push_back(now);
        }
        else if (peer != m_peers.end() && peer->second.contact)
        {
            contacts.push_back(*peer->second.contact);
        }
    }
    const std::size_t quorum = members().quorum();
    if (contacts.size() < quorum)
    {
        return std::nullopt;
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[quorum - 1];
}

bool replica_core::lease_holds(time_point now) const
{
    const std::optional<time_point> contact = quorum_contact(now);
    if (!contact)
    {
        return false;
    }
    const double lease =
        static_cast<double>(m_settings.election_timeout.count()) /
        m_settings.max_clock_ratio;
    return now - *contact < duration(static_cast<duration::rep>(lease));
}

bool replica_core::can_read(time_point now) const
{
    return m_role == replica_role::leader && m_state.commit >= m_term_start &&
           lease_holds(now);
}

std::optional<error>
replica_core::proposal_error(std::size_t payload_size) const
{
    if (m_role == replica_role::failed)
    {
        return error{error_kind::storage, m_settings.self.value(),
                     m_storage_error};
    }
    if (m_role != replica_role::leader)
    {
        return error{error_kind::unavailable, m_settings.self.value(),
                     "is not the leader"};
    }
    if (payload_size > m_settings.max_payload_bytes)
    {
        return error{error_kind::invalid, m_settings.self.value(),
                     "the change is too large"};
    }
    if (m_uncommitted_bytes + payload_size > m_settings.max_uncommitted_bytes)
    {
        return error{error_kind::unavailable, m_settings.self.value(),
                     "too many changes wait to be committed"};
    }
    return std::nullopt;
}

} // namespace crowlink::replication::internal
