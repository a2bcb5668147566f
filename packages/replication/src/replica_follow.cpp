#include "replica_core.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::replication::internal
{

namespace
{

bool is_contiguous(const append_request& body)
{
    log_index expected = body.previous_index + 1;
    for (const log_entry& entry : body.entries)
    {
        if (entry.index != expected)
        {
            return false;
        }
        ++expected;
    }
    return true;
}

} // namespace

bool replica_core::accept_leader(const replica_message& message)
{
    if (m_rules.check_disk && message.to_disk != m_disk)
    {
        // The leader expects the disk that this host had before. The hello is
        // sent to it directly, because the settings need not name the leader
        // and no other host forwards a hello.
        send(message.from, message.from_disk, own_hello());
        return false;
    }
    if (message.term < m_state.term)
    {
        // The reply carries the higher term, on which the sender steps down.
        send(message.from, message.from_disk,
             append_reply{false, 0, m_match_index + 1, 0});
        return false;
    }
    adopt_cluster(message);
    become_follower(message.term, message.from, "heard from the leader");
    m_leader_contact = m_now;
    if (m_state.leader != message.from)
    {
        m_state.leader = message.from;
        m_queue.set_state(m_state);
    }
    return true;
}

void replica_core::on(const replica_message& message,
                      const append_request& body)
{
    if (!is_contiguous(body) || !accept_leader(message))
    {
        return;
    }
    const bool covered = body.previous_index < m_state.commit;
    if (!covered && m_log.term_at(body.previous_index) != body.previous_term)
    {
        reject(message, body);
        return;
    }
    const bool appended = merge_entries(body);
    m_match_index =
        std::max(m_match_index, body.previous_index + body.entries.size());
    m_leader_commit_at = m_now;
    advance_follower_commit(body.commit);
    if (appended)
    {
        reply_when_durable(body.sent_at);
        return;
    }
    reply_to_leader(body.sent_at);
}

bool replica_core::merge_entries(const append_request& body)
{
    bool appended = false;
    for (const log_entry& entry : body.entries)
    {
        const bool held = entry.index <= m_state.commit ||
                          m_log.term_at(entry.index) == entry.term;
        if (held)
        {
            continue;
        }
        truncate_from(entry.index);
        append_entry(entry);
        appended = true;
    }
    return appended;
}

void replica_core::reject(const replica_message& message,
                          const append_request& body)
{
    log_index next = m_log.last_index() + 1;
    if (body.previous_index <= m_log.last_index())
    {
        // Skips one term per round trip.
        next = m_log.first_of_term(body.previous_index);
    }
    next = std::max(next, m_state.commit + 1);
    send(message.from, message.from_disk,
         append_reply{false, 0, next, body.sent_at});
}

void replica_core::reply_to_leader(std::int64_t sent_at)
{
    if (m_leader.value().empty())
    {
        return;
    }
    if (m_queue.durable_state().term != m_state.term)
    {
        reply_when_durable(sent_at);
        return;
    }
    const member* leader = members().find(m_leader);
    const disk_id disk = leader != nullptr ? leader->disk : disk_id();
    const log_index match = std::min(m_match_index, m_queue.durable_index());
    send(m_leader, disk, append_reply{true, match, m_match_index + 1, sent_at});
}

void replica_core::reply_when_durable(std::int64_t sent_at)
{
    m_deferred_reply = std::max(m_deferred_reply.value_or(sent_at), sent_at);
}

void replica_core::advance_follower_commit(log_index commit)
{
    m_leader_commit = std::max(m_leader_commit, commit);
    // This host applies only entries that are durable on its own disk.
    const log_index held = std::min(m_match_index, m_queue.durable_index());
    const log_index reached = std::min(m_leader_commit, held);
    if (reached > m_state.commit)
    {
        m_state.commit = reached;
        apply_committed();
    }
    if (holds_all_committed())
    {
        m_up_to_date_at = std::max(m_up_to_date_at, *m_leader_commit_at);
    }
}

// The commit index of a new leader lags behind that of its predecessors until
// an entry of its own term is committed; only then are all earlier committed
// entries known to be covered. A snapshot does not show which entries follow
// it.
bool replica_core::holds_all_committed() const
{
    return m_leader_commit_at && m_state.commit >= m_leader_commit &&
           m_log.term_at(m_state.commit) == m_state.term;
}

void replica_core::on(const replica_message& message,
                      const snapshot_chunk& body)
{
    if (!accept_leader(message))
    {
        return;
    }
    if (body.index <= m_state.commit || m_log.term_at(body.index) == body.term)
    {
        m_incoming_snapshot.reset();
        m_match_index = std::max(m_match_index, body.index);
        advance_follower_commit(body.index);
        reply_to_leader(body.sent_at);
        return;
    }
    const bool another = !m_incoming_snapshot ||
                         m_incoming_snapshot->index != body.index ||
                         m_incoming_snapshot->term != body.term;
    if (another)
    {
        m_incoming_snapshot =
            incoming_snapshot{body.index, body.term, body.total, std::string()};
    }
    const bool fits =
        body.offset == m_incoming_snapshot->data.size() &&
        body.offset + body.data.size() <= m_incoming_snapshot->total &&
        m_incoming_snapshot->total <= m_settings.max_snapshot_bytes;
    if (fits)
    {
        m_incoming_snapshot->data += body.data;
    }
    if (fits && m_incoming_snapshot->data.size() == m_incoming_snapshot->total)
    {
        install_received(body);
        return;
    }
    send(message.from, message.from_disk,
         snapshot_reply{body.index, m_incoming_snapshot->data.size(),
                        body.sent_at});
}

void replica_core::install_received(const snapshot_chunk& body)
{
    const auto data = std::make_shared<const std::string>(
        std::move(m_incoming_snapshot->data));
    m_incoming_snapshot.reset();
    m_snapshot =
        snapshot{body.index, body.term, body.members, m_state.cluster, data};
    m_log.reset(body.index, body.term);
    m_memberships.reset(body.index, body.members);
    erase_admitted_from_non_members();
    m_queue.add_snapshot(*m_snapshot, true);
    m_applied_bytes = 0;
    m_snapshot_requested = false;
    m_match_index = body.index;
    // The snapshot is applied once it is durable.
    m_leader_commit = std::max(m_leader_commit, body.index);
    reply_when_durable(body.sent_at);
}

} // namespace crowlink::replication::internal
