#include "replica_core.hpp"

#include <random>
#include <utility>

namespace crowlink::replication::internal
{

void replica_core::become_follower(term_number term, const host_id& leader,
                                   std::string reason)
{
    if (term > m_state.term)
    {
        m_state.term = term;
        m_state.vote = host_id();
        m_state.leader = host_id();
        m_queue.set_state(m_state);
        m_voted_at.reset();
        m_election_open_until = time_point();
        // The committed entries match the log of every leader; nothing more is
        // known about a new one.
        m_match_index = m_state.commit;
        m_leader_commit = 0;
        m_leader_commit_at.reset();
        m_deferred_reply.reset();
    }
    m_votes.clear();
    m_refusals.clear();
    m_peers.clear();
    reset_election_timer();
    change_role(replica_role::follower, leader, std::move(reason));
}

void replica_core::reset_election_timer()
{
    std::uniform_int_distribution<duration::rep> spread(
        0, m_settings.election_spread.count());
    m_election_deadline =
        m_now + m_settings.election_timeout + duration(spread(m_random));
}

void replica_core::campaign()
{
    if (!m_rules.pre_vote)
    {
        start_election();
        return;
    }
    reset_election_timer();
    change_role(replica_role::pre_candidate, host_id(),
                "heard from no leader within the election timeout");
    m_votes = {m_settings.self};
    request_votes(true);
    count_votes();
}

void replica_core::start_election()
{
    reset_election_timer();
    ++m_state.term;
    m_state.vote = m_settings.self;
    m_state.leader = host_id();
    m_queue.set_state(m_state);
    m_match_index = m_state.commit;
    m_leader_commit = 0;
    m_leader_commit_at.reset();
    m_deferred_reply.reset();
    m_votes.clear();
    m_refusals.clear();
    m_voted_at = m_now;
    m_campaign_sequence = m_queue.last_sequence();
    change_role(replica_role::candidate, host_id(), "won the pre-vote");
    request_votes(false);
}

void replica_core::request_votes(bool pre_vote)
{
    const term_number term = pre_vote ? m_state.term + 1 : m_state.term;
    const vote_request request{pre_vote, m_log.last_index(), m_log.last_term(),
                               term};
    for (const member& one : members().members())
    {
        if (one.role != member_role::voter || one.host == m_settings.self)
        {
            continue;
        }
        if (pre_vote)
        {
            send(one.host, one.disk, request);
        }
        else
        {
            send_when_durable(one.host, one.disk, request);
        }
    }
}

void replica_core::count_votes()
{
    std::size_t votes = 0;
    for (const host_id& host : m_votes)
    {
        const member* voter = members().find(host);
        const bool counts =
            voter != nullptr && voter->role == member_role::voter;
        votes += counts ? 1 : 0;
    }
    if (votes < members().quorum())
    {
        return;
    }
    if (m_role == replica_role::pre_candidate)
    {
        start_election();
    }
    else if (m_role == replica_role::candidate)
    {
        become_leader();
    }
}

void replica_core::become_leader()
{
    m_votes.clear();
    m_peers.clear();
    m_leader_since = m_now;
    m_state.leader = m_settings.self;
    m_queue.set_state(m_state);
    m_uncommitted_bytes = 0;
    for (log_index index = m_state.commit + 1; index <= m_log.last_index();
         ++index)
    {
        m_uncommitted_bytes += m_log.at(index).payload.size();
    }
    m_term_start = m_log.last_index() + 1;
    change_role(replica_role::leader, m_settings.self, "won the election");
    append_entry(log_entry{m_term_start, m_state.term, entry_kind::no_operation,
                           std::string()});
    update_peers();
    replicate_all();
}

bool replica_core::is_vote_durable() const
{
    const hard_state& durable = m_queue.durable_state();
    return durable.term == m_state.term && durable.vote == m_state.vote;
}

// A vote counts only after two writes in a row, of the candidate and of the
// voter, which may take longer than an election timeout. Until then this host
// supports no further election, which would make the vote void.
bool replica_core::is_election_open() const
{
    return m_role == replica_role::candidate || m_voted_at ||
           m_now < m_election_open_until;
}

// Whether a candidate waits for votes, because too few voters have answered to
// elect anybody in a later term. Once it gives up, it must not win its term any
// more: its request for pre-votes tells that it does not lead.
bool replica_core::waits_for_votes() const
{
    const std::size_t answered = m_votes.size() + m_refusals.size();
    return m_role == replica_role::candidate && answered < members().quorum();
}

// The vote of this host is durable, and messages that rely on it leave.
void replica_core::wait_for_outcome()
{
    reset_election_timer();
    if (m_role == replica_role::candidate)
    {
        // The disks of the voters may be as slow as the one of the candidate.
        m_election_deadline += m_now - *m_voted_at;
    }
    m_voted_at.reset();
    m_election_open_until = m_now + m_settings.election_timeout;
}

bool replica_core::has_leader_contact() const
{
    return m_role == replica_role::leader ||
           m_now - m_leader_contact < m_settings.election_timeout;
}

// A host that requests a pre-vote is not the leader of its present term and
// cannot become it again; a host in a later term leads no earlier one. If the
// sender led this host's term, its lease has ended and voters need not wait for
// it. A leader whose process was killed or lost power sends a pre-vote request
// as soon as it restarts; for one that does not return, the lease is waited
// out.
void replica_core::detect_end_of_lease(const replica_message& message,
                                       bool pre_vote)
{
    const bool led = message.from == m_state.leader;
    const bool is_over = message.term > m_state.term ||
                         (pre_vote && message.term == m_state.term) ||
                         !m_rules.check_ended_term;
    const member* known = members().find(message.from);
    const bool same_disk = known != nullptr && known->disk == message.from_disk;
    if (led && is_over && same_disk)
    {
        stop_waiting_for_lease("the leader asks for votes itself");
    }
}

// Moves the election deadline up, so that another host campaigns soon if the
// former leader does not win. The delay lets the former leader try first.
void replica_core::stop_waiting_for_lease(std::string reason)
{
    m_leader_contact = m_now - m_settings.election_timeout;
    std::uniform_int_distribution<duration::rep> spread(
        m_settings.election_spread.count() / 2,
        m_settings.election_spread.count());
    m_election_deadline =
        std::min(m_election_deadline, m_now + duration(spread(m_random)));
    if (m_role == replica_role::follower)
    {
        change_role(replica_role::follower, host_id(), std::move(reason));
    }
}

// Whether a silent leader of this host's term may still hold a lease: after a
// start of this host, or after missed heartbeats.
bool replica_core::waits_for_lease() const
{
    const bool knows_one =
        !m_state.leader.value().empty() && m_state.leader != m_settings.self;
    const bool is_silent =
        m_leader.value().empty() ||
        m_now - m_leader_contact > 2 * m_settings.heartbeat_interval;
    return m_role == replica_role::follower && knows_one && is_silent &&
           has_leader_contact();
}

// A leader that lost its disk cannot campaign, because it knows no term, so
// that voters would wait out its lease. A process without state has led no
// term, and it starts only after the process that led has ended, so its answer
// ends the wait. The number rejects a delayed answer about an earlier disk
// loss, after which the same host was admitted again and became leader.
void replica_core::send_disk_question()
{
    if (!waits_for_lease())
    {
        return;
    }
    if (!m_pending_question || m_pending_question->term != m_state.term)
    {
        m_pending_question = pending_question{
            m_random(), m_state.term, m_now - m_settings.heartbeat_interval};
    }
    if (m_now - m_pending_question->sent < m_settings.heartbeat_interval)
    {
        return;
    }
    m_pending_question->sent = m_now;
    send(m_state.leader, disk_id(), disk_question{m_pending_question->number});
}

void replica_core::on(const replica_message& message, const disk_question& body)
{
    send(message.from, message.from_disk, disk_answer{body.number, is_blank()});
}

void replica_core::on(const replica_message& message, const disk_answer& body)
{
    const bool is_fresh =
        (m_pending_question && m_pending_question->term == m_state.term &&
         m_pending_question->number == body.number) ||
        !m_rules.check_answer_number;
    const bool led = message.from == m_state.leader;
    if (is_fresh && led && body.blank && waits_for_lease())
    {
        stop_waiting_for_lease("the leader has lost its disk");
    }
}

bool replica_core::is_up_to_date(const vote_request& request) const
{
    if (request.last_term != m_log.last_term())
    {
        return request.last_term > m_log.last_term();
    }
    return request.last_index >= m_log.last_index();
}

void replica_core::on(const replica_message& message, const vote_request& body)
{
    // A host with another disk than the sender expects does not have the votes
    // that it recorded on that disk.
    if (m_rules.check_disk && message.to_disk != m_disk)
    {
        return;
    }
    if (body.pre_vote)
    {
        on_pre_vote(message, body);
        return;
    }
    adopt_cluster(message);
    on_vote(message, body);
}

void replica_core::on_pre_vote(const replica_message& message,
                               const vote_request& body)
{
    detect_end_of_lease(message, true);
    const bool granted = !has_leader_contact() && !is_election_open() &&
                         body.term > m_state.term && is_up_to_date(body);
    if (granted)
    {
        // The sender starts an election now; another one would split the votes.
        reset_election_timer();
    }
    send_when_durable(message.from, message.from_disk,
                      vote_reply{true, granted, body.term});
}

void replica_core::on_vote(const replica_message& message,
                           const vote_request& body)
{
    detect_end_of_lease(message, false);
    // The request, including its term, is ignored, so that a host without
    // contact to the leader does not depose it.
    if (has_leader_contact())
    {
        return;
    }
    if (body.term > m_state.term)
    {
        become_follower(body.term, host_id(),
                        "another host started an election");
    }
    const bool free_to_vote =
        m_state.vote.value().empty() || m_state.vote == message.from;
    const bool granted =
        body.term == m_state.term && free_to_vote && is_up_to_date(body);
    // A candidate repeats its requests. They must not hold back elections where
    // it can't hear the votes.
    if (granted && m_state.vote != message.from)
    {
        m_state.vote = message.from;
        m_queue.set_state(m_state);
        m_voted_at = m_now;
        reset_election_timer();
    }
    send_when_durable(message.from, message.from_disk,
                      vote_reply{false, granted, body.term});
}

void replica_core::on(const replica_message& message, const vote_reply& body)
{
    const member* voter = members().find(message.from);
    const bool known = voter != nullptr && (voter->disk == message.from_disk ||
                                            !m_rules.check_disk);
    if (!known)
    {
        return;
    }
    if (message.term > m_state.term && !body.granted)
    {
        become_follower(message.term, host_id(),
                        "another host is in a higher term");
        return;
    }
    const bool asked = body.pre_vote ? m_role == replica_role::pre_candidate &&
                                           body.term == m_state.term + 1
                                     : m_role == replica_role::candidate &&
                                           body.term == m_state.term;
    if (asked && body.granted)
    {
        m_votes.insert(message.from);
        count_votes();
    }
    else if (asked && !body.pre_vote)
    {
        m_refusals.insert(message.from);
    }
}

} // namespace crowlink::replication::internal
