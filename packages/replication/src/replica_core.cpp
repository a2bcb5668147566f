#include "replica_core.hpp"

#include "wire_convert.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::replication::internal
{

namespace
{

// The initial age of the document: longer than the time for which any
// unconfirmed document may be served.
constexpr duration initial_document_age = std::chrono::hours(24);

// Longer than any election timeout.
constexpr duration remembered_pauses = std::chrono::seconds(10);

} // namespace

replica_core::replica_core(replica_settings settings, durable_state restored,
                           time_point now, seeded_random random,
                           replica_rules rules)
    : m_settings(std::move(settings))
    , m_rules(rules)
    , m_random(random)
    , m_disk(restored.disk)
    , m_now(now)
    , m_state(restored.state)
    , m_leader_contact(now)
    , m_up_to_date_at(now - initial_document_age)
    , m_snapshot(std::move(restored.last_snapshot))
    , m_queue(restored.state, restored.entries.empty()
                                  ? (m_snapshot ? m_snapshot->index : 0)
                                  : restored.entries.back().index)
{
    if (m_snapshot)
    {
        m_log.reset(m_snapshot->index, m_snapshot->term);
        m_memberships.reset(m_snapshot->index, m_snapshot->members);
        m_state.commit = std::max(m_state.commit, m_snapshot->index);
        m_state.cluster = m_snapshot->cluster;
    }
    for (log_entry& entry : restored.entries)
    {
        if (entry.kind == entry_kind::membership)
        {
            m_memberships.append(entry.index,
                                 decode_membership(entry.payload.str()));
        }
        m_log.append(std::move(entry));
    }
    m_state.commit = std::min(m_state.commit, m_log.last_index());
    m_match_index = m_state.commit;
    reset_election_timer();
    const bool led =
        !m_state.leader.value().empty() && m_state.leader == m_settings.self;
    if (led || !m_rules.wait_after_start)
    {
        // The only lease that could bind this host was its own, which ended
        // with its process.
        m_leader_contact = now - m_settings.election_timeout;
        m_election_deadline = now;
    }
}

std::vector<replica_effect> replica_core::start()
{
    apply_committed();
    return std::exchange(m_effects, {});
}

std::vector<replica_effect> replica_core::handle(time_point now,
                                                 const replica_event& event)
{
    m_now = std::max(m_now, now);
    std::visit([this](const auto& input) { handle_event(input); }, event);
    if (m_role != replica_role::failed)
    {
        flush();
    }
    return std::exchange(m_effects, {});
}

// While this host does not run it hears nobody, and what others sent meanwhile
// is still to be handled: that time is not silence of theirs.
void replica_core::handle_event(const held_up& event)
{
    m_election_deadline += event.length;
    m_pauses.push_back(pause{m_now, event.length});
    while (m_pauses.front().end < m_now - remembered_pauses)
    {
        m_pauses.pop_front();
    }
}

duration replica_core::paused_since(time_point since) const
{
    duration total{};
    for (const pause& each : m_pauses)
    {
        total += each.end > since ? each.length : duration::zero();
    }
    return total;
}

void replica_core::handle_event(const message_received& event)
{
    const replica_message& message = event.message;
    if (m_role == replica_role::failed || !is_addressed_here(message))
    {
        return;
    }
    std::visit([&](const auto& body) { on(message, body); }, message.body);
}

bool replica_core::is_addressed_here(const replica_message& message) const
{
    const bool same_log = message.cluster == 0 || m_state.cluster == 0 ||
                          message.cluster == m_state.cluster;
    return same_log && message.to == m_settings.self &&
           message.from != m_settings.self;
}

void replica_core::adopt_cluster(const replica_message& message)
{
    if (m_state.cluster == 0 && message.cluster != 0)
    {
        m_state.cluster = message.cluster;
        m_queue.set_state(m_state);
    }
}

void replica_core::handle_event(const tick&)
{
    if (m_role == replica_role::failed)
    {
        return;
    }
    if (m_queue.durable_state().commit < m_state.commit)
    {
        m_queue.set_state(m_state);
    }
    if (m_role == replica_role::leader)
    {
        leader_tick();
        return;
    }
    send_hello();
    bootstrap_log();
    propose_voters();
    send_disk_question();
    if (m_leader.value().empty() && members().contains(m_settings.self, m_disk))
    {
        send_hello_to_non_members();
    }
    const bool stalled =
        m_queue.stalled(m_now, m_settings.storage_stall_timeout);
    if (m_now < m_election_deadline || m_voted_at || stalled || !may_campaign())
    {
        return;
    }
    if (waits_for_votes())
    {
        reset_election_timer();
        request_votes(false);
        return;
    }
    campaign();
}

void replica_core::handle_event(const propose& event)
{
    if (std::optional<error> cause = proposal_error(event.payload.size()))
    {
        m_effects.emplace_back(proposal_refused{event.request, *cause});
        return;
    }
    const log_index index = m_log.last_index() + 1;
    append_entry(
        log_entry{index, m_state.term, entry_kind::payload, event.payload});
    m_effects.emplace_back(
        proposal_appended{event.request, index, m_state.term});
    replicate_all();
}

void replica_core::handle_event(const storage_done& event)
{
    for (replica_message& message : m_queue.complete(event.sequence))
    {
        m_effects.emplace_back(send_message{std::move(message)});
    }
    if (m_voted_at && is_vote_durable())
    {
        wait_for_outcome();
    }
    if (m_role == replica_role::candidate &&
        m_queue.done_sequence() >= m_campaign_sequence)
    {
        m_votes.insert(m_settings.self);
        count_votes();
    }
    if (m_role == replica_role::leader)
    {
        advance_commit();
        return;
    }
    advance_follower_commit(m_leader_commit);
    if (m_deferred_reply)
    {
        reply_to_leader(*std::exchange(m_deferred_reply, std::nullopt));
    }
}

void replica_core::handle_event(const storage_failed& event)
{
    m_storage_error = to_string(event.cause);
    m_peers.clear();
    m_leader = host_id();
    change_role(replica_role::failed, host_id(),
                "storage failed: " + m_storage_error);
}

void replica_core::handle_event(const snapshot_taken& event)
{
    m_snapshot_requested = false;
    const std::optional<term_number> term = m_log.term_at(event.index);
    const bool useful = !m_snapshot || event.index > m_snapshot->index;
    if (m_role == replica_role::failed || !term || !useful ||
        event.index > m_applied)
    {
        return;
    }
    m_snapshot = snapshot{event.index, *term, m_memberships.at(event.index),
                          m_state.cluster, event.data};
    m_queue.add_snapshot(*m_snapshot, false);
    m_applied_bytes = 0;
    // Keeps some entries for followers that lag slightly, but at most half of
    // the bytes that make the next snapshot due.
    const log_index keep = m_settings.keep_entries;
    m_log.compact_to(event.index > keep ? event.index - keep : 0);
    while (m_log.bytes() > m_settings.compact_after_bytes / 2 &&
           m_log.base_index() < event.index)
    {
        m_log.compact_to(m_log.base_index() + 1);
    }
    m_memberships.compact_to(event.index);
}

void replica_core::flush()
{
    if (std::optional<persist_request> request = m_queue.start_next(m_now))
    {
        m_effects.emplace_back(persist{*std::move(request)});
    }
}

void replica_core::send(const host_id& to, disk_id to_disk, message_body body)
{
    m_effects.emplace_back(send_message{
        replica_message{m_settings.self, m_disk, to, to_disk, m_state.cluster,
                        m_state.term, std::move(body)}});
}

void replica_core::send_when_durable(const host_id& to, disk_id to_disk,
                                     message_body body)
{
    if (m_queue.last_sequence() <= m_queue.done_sequence())
    {
        send(to, to_disk, std::move(body));
        return;
    }
    m_queue.hold(replica_message{m_settings.self, m_disk, to, to_disk,
                                 m_state.cluster, m_state.term,
                                 std::move(body)});
}

void replica_core::apply_committed()
{
    while (m_applied < m_state.commit)
    {
        if (m_applied < m_log.base_index())
        {
            m_applied = m_snapshot->index;
            m_effects.emplace_back(install_snapshot{*m_snapshot});
            continue;
        }
        ++m_applied;
        const log_entry& entry = m_log.at(m_applied);
        m_applied_bytes += entry.payload.size();
        m_effects.emplace_back(apply_entry{entry});
    }
    maybe_take_snapshot();
}

void replica_core::maybe_take_snapshot()
{
    const log_index from = m_snapshot ? m_snapshot->index : 0;
    const bool due = m_applied - from >= m_settings.compact_after_entries ||
                     m_applied_bytes >= m_settings.compact_after_bytes;
    if (due && !m_snapshot_requested)
    {
        m_snapshot_requested = true;
        m_effects.emplace_back(take_snapshot{m_applied});
    }
}

void replica_core::append_entry(log_entry entry)
{
    m_queue.add_entry(entry);
    m_uncommitted_bytes += entry.payload.size();
    if (entry.kind == entry_kind::membership)
    {
        m_memberships.append(entry.index,
                             decode_membership(entry.payload.str()));
        erase_admitted_from_non_members();
    }
    m_log.append(std::move(entry));
}

void replica_core::truncate_from(log_index index)
{
    m_log.truncate_from(index);
    m_memberships.truncate_from(index);
}

void replica_core::change_role(replica_role role, const host_id& leader,
                               std::string reason)
{
    if (m_role == role && m_leader == leader)
    {
        return;
    }
    m_role = role;
    m_leader = leader;
    m_effects.emplace_back(
        role_changed{role, m_state.term, leader, std::move(reason)});
}

bool replica_core::is_voter() const
{
    return members().is_voter(m_settings.self, m_disk);
}

// A host whose removal is in its log but not committed may campaign, because it
// may be the only one with that entry and so the only one that can win. Its own
// vote does not count then (Ongaro 2014, section 4.2.2).
bool replica_core::may_campaign() const
{
    const log_index newest = m_memberships.current_index();
    const bool voted_before =
        newest > m_state.commit &&
        m_memberships.at(newest - 1).is_voter(m_settings.self, m_disk);
    return is_voter() || voted_before;
}

bool replica_core::is_blank() const
{
    return m_state.term == 0 && m_state.cluster == 0 && m_log.last_index() == 0;
}

replica_status replica_core::status(time_point now) const
{
    replica_status out;
    out.self = m_settings.self;
    out.disk = m_disk;
    out.role = m_role;
    out.term = m_state.term;
    out.leader = m_leader;
    out.commit = m_state.commit;
    out.last_index = m_log.last_index();
    out.snapshot_index = m_snapshot ? m_snapshot->index : 0;
    out.log_bytes = m_log.bytes();
    out.storage_error = m_storage_error;
    const bool leads = m_role == replica_role::leader;
    out.age = now - (leads ? quorum_contact(now).value_or(m_leader_since)
                           : m_leader_contact);
    out.led_for = leads ? now - m_leader_since : duration::zero();
    const bool holds_all = leads && m_state.commit >= m_term_start;
    out.document_age = holds_all ? out.age : now - m_up_to_date_at;
    for (const member& one : members().members())
    {
        member_status shown{one, 0, std::nullopt};
        const auto peer = m_peers.find(one.host);
        if (one.host == m_settings.self)
        {
            shown.match_index = m_queue.durable_index();
            shown.age = duration{};
        }
        else if (peer != m_peers.end())
        {
            shown.match_index = peer->second.match;
            if (peer->second.contact)
            {
                shown.age = now - *peer->second.contact;
            }
        }
        out.members.push_back(shown);
    }
    for (const auto& [host, seen] : m_non_members)
    {
        if (!members().contains(host, seen.disk))
        {
            out.non_members.push_back(non_member_status{
                host, seen.disk, seen.blank, now - seen.seen});
        }
    }
    return out;
}

} // namespace crowlink::replication::internal
