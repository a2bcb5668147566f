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

bool replica_core::heed_leader(const replica_message& message)
{
    if (m_rules.check_disk && message.to_disk != m_disk)
    {
        // The leader takes this host for one that it lost. The settings need
        // not name the leader, and nobody else passes a hello on.
        send(message.from, message.from_disk, hello{is_blank()});
        return false;
    }
    if (message.term < m_state.term)
    {
        // The sender learns the higher term from this and steps down.
        send(message.from, message.from_disk,
             append_reply{false, 0, m_verified + 1, 0});
        return false;
    }
    adopt_cluster(message);
    follow(message.term, message.from, "heard from the leader");
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
    if (!is_contiguous(body) || !heed_leader(message))
    {
        return;
    }
    const bool covered = body.previous_index < m_state.commit;
    if (!covered && m_log.term_at(body.previous_index) != body.previous_term)
    {
        reject(message, body);
        return;
    }
    const bool appended = take_entries(body);
    m_verified =
        std::max(m_verified, body.previous_index + body.entries.size());
    m_commit_told = m_now;
    follow_commit(body.commit);
    if (appended)
    {
        answer_when_durable(body.sent_at);
        return;
    }
    answer_leader(body.sent_at);
}

bool replica_core::take_entries(const append_request& body)
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
        // A whole term is skipped at a time.
        next = m_log.first_of_term(body.previous_index);
    }
    next = std::max(next, m_state.commit + 1);
    send(message.from, message.from_disk,
         append_reply{false, 0, next, body.sent_at});
}

void replica_core::answer_leader(std::int64_t sent_at)
{
    if (m_leader.value().empty())
    {
        return;
    }
    if (m_queue.durable_state().term != m_state.term)
    {
        answer_when_durable(sent_at);
        return;
    }
    const member* leader = members().find(m_leader);
    const disk_id disk = leader != nullptr ? leader->disk : disk_id();
    const log_index match = std::min(m_verified, m_queue.durable_index());
    send(m_leader, disk, append_reply{true, match, m_verified + 1, sent_at});
}

void replica_core::answer_when_durable(std::int64_t sent_at)
{
    m_answer_due = std::max(m_answer_due.value_or(sent_at), sent_at);
}

void replica_core::follow_commit(log_index commit)
{
    m_leader_commit = std::max(m_leader_commit, commit);
    // Nothing is served before this host itself holds it.
    const log_index held = std::min(m_verified, m_queue.durable_index());
    const log_index reached = std::min(m_leader_commit, held);
    if (reached > m_state.commit)
    {
        m_state.commit = reached;
        apply_committed();
    }
    if (holds_all_of_leader())
    {
        m_current_at = std::max(m_current_at, *m_commit_told);
    }
}

// What a new leader says of commitment lags behind what its predecessors
// committed until an entry of its own term is: only then is all before it
// known to be there. A snapshot alone tells nothing of what came after it.
bool replica_core::holds_all_of_leader() const
{
    return m_commit_told && m_state.commit >= m_leader_commit &&
           m_log.term_at(m_state.commit) == m_state.term;
}

void replica_core::on(const replica_message& message,
                      const snapshot_chunk& body)
{
    if (!heed_leader(message))
    {
        return;
    }
    if (body.index <= m_state.commit || m_log.term_at(body.index) == body.term)
    {
        m_incoming.reset();
        m_verified = std::max(m_verified, body.index);
        follow_commit(body.index);
        answer_leader(body.sent_at);
        return;
    }
    const bool another = !m_incoming || m_incoming->index != body.index ||
                         m_incoming->term != body.term;
    if (another)
    {
        m_incoming =
            incoming_snapshot{body.index, body.term, body.total, std::string()};
    }
    const bool fits = body.offset == m_incoming->data.size() &&
                      body.offset + body.data.size() <= m_incoming->total &&
                      m_incoming->total <= m_settings.max_snapshot_bytes;
    if (fits)
    {
        m_incoming->data += body.data;
    }
    if (fits && m_incoming->data.size() == m_incoming->total)
    {
        install(body);
        return;
    }
    send(message.from, message.from_disk,
         snapshot_reply{body.index, m_incoming->data.size(), body.sent_at});
}

void replica_core::install(const snapshot_chunk& body)
{
    const auto data =
        std::make_shared<const std::string>(std::move(m_incoming->data));
    m_incoming.reset();
    m_snapshot =
        snapshot{body.index, body.term, body.members, m_state.cluster, data};
    m_log.reset(body.index, body.term);
    m_memberships.reset(body.index, body.members);
    remove_admitted_hosts();
    m_queue.add_snapshot(*m_snapshot, true);
    m_applied_bytes = 0;
    m_snapshot_asked = false;
    m_verified = body.index;
    // It takes effect once it is durable.
    m_leader_commit = std::max(m_leader_commit, body.index);
    answer_when_durable(body.sent_at);
}

} // namespace crowlink::replication::internal
