#include "schedule.hpp"

#include <algorithm>

namespace crowlink::replication
{

namespace
{

constexpr std::size_t long_run = 400;
constexpr std::size_t calls_of_a_write = 12;
constexpr std::size_t least_voters = 3;

} // namespace

void schedule::propose(std::size_t host, unsigned behind)
{
    const std::uint64_t current = m_cluster.version(host);
    const std::uint64_t base =
        current - std::min<std::uint64_t>(current, behind);
    m_proposed.push_back("op" + std::to_string(m_proposed.size()));
    m_cluster.propose(host, m_proposed.back(), base);
}

// Whether every voter is running with its admitted disk and holds the leader's
// whole log, so that the loss of one disk leaves a quorum that holds every
// acknowledged change.
bool schedule::all_voters_intact() const
{
    const auto leader = m_cluster.leader();
    if (!leader)
    {
        return false;
    }
    const replica_status status = m_cluster.status(*leader);
    bool whole = status.commit == status.last_index;
    std::size_t voters = 0;
    for (const member_status& one : status.members)
    {
        const std::size_t host = m_cluster.index_of(one.who.host);
        const bool there = m_cluster.up(host) &&
                           m_cluster.status(host).disk == one.who.disk &&
                           one.match_index == status.last_index;
        const bool votes = one.who.role == member_role::voter;
        voters += votes ? 1 : 0;
        whole = whole && (there || !votes);
    }
    return whole && voters >= least_voters;
}

void schedule::perform(const action& one)
{
    const std::size_t host = one.host % m_cluster.size();
    const std::size_t other = (host + 1 + one.amount) % m_cluster.size();
    const bool up = m_cluster.up(host);
    const auto leader = m_cluster.leader();
    switch (one.kind)
    {
    case action_kind::run:
        m_cluster.run(1 + one.amount);
        break;
    case action_kind::run_long:
        m_cluster.run(long_run);
        break;
    case action_kind::propose:
        if (up)
        {
            propose(host, one.amount % 4 == 0 ? 1 : 0);
        }
        break;
    case action_kind::race:
        for (std::size_t i = 0; i < m_cluster.size(); ++i)
        {
            if (m_cluster.up(i))
            {
                propose(i, 0);
            }
        }
        break;
    case action_kind::resend:
        if (up && !m_proposed.empty())
        {
            m_cluster.resend(host, m_proposed[m_proposed.size() - 1 -
                                              one.amount % m_proposed.size()]);
        }
        break;
    case action_kind::prepare_order:
    case action_kind::propose_order:
    case action_kind::issue_order:
        order(one);
        break;
    case action_kind::crash:
        if (up)
        {
            m_cluster.crash(host);
        }
        break;
    case action_kind::halt:
        m_cluster.disk(host).halt_after(1 + one.amount % calls_of_a_write);
        break;
    case action_kind::restart:
        m_cluster.restart(host);
        break;
    case action_kind::isolate:
        m_cluster.isolate(host);
        break;
    case action_kind::block:
        m_cluster.block(host, other);
        break;
    case action_kind::heal:
        m_cluster.heal();
        break;
    case action_kind::set_message_faults:
        m_cluster.set_message_faults(one.amount % 30, one.amount % 20);
        break;
    case action_kind::lose_disk:
        if (all_voters_intact())
        {
            m_cluster.lose_disk(host);
        }
        break;
    case action_kind::slow_disk:
        // Up to 3 s, three times the election timeout.
        m_cluster.slow_disk(host, 5 * one.amount);
        break;
    case action_kind::admit:
        if (leader)
        {
            m_cluster.change_members(*leader,
                                     {member_change_kind::add_voter,
                                      fake_cluster::name(host), disk_id()});
        }
        break;
    case action_kind::remove:
        // The loss of one voter during the removal of another is more than a
        // log can tolerate.
        if (leader && all_voters_intact())
        {
            m_cluster.change_members(*leader,
                                     {member_change_kind::remove,
                                      fake_cluster::name(host), disk_id()});
        }
        break;
    }
}

// Uses the leader if there is one, since no other host accepts orders.
void schedule::order(const action& one)
{
    const std::size_t host =
        m_cluster.leader().value_or(one.host % m_cluster.size());
    const bool evacuates = one.amount % 2 == 0;
    const std::size_t known = m_cluster.orders();
    if (one.kind == action_kind::prepare_order)
    {
        (void)m_cluster.prepare_order(host, evacuates);
    }
    else if (one.kind == action_kind::issue_order)
    {
        (void)m_cluster.issue_order(host, evacuates);
    }
    else if (known > 0 && m_cluster.up(host))
    {
        constexpr std::size_t kept = 6;
        m_cluster.propose_order(host,
                                known - 1 - one.amount % std::min(kept, known));
    }
}

bool schedule::converge()
{
    m_cluster.heal();
    m_cluster.set_message_faults(0, 0);
    for (std::size_t i = 0; i < m_cluster.size(); ++i)
    {
        m_cluster.slow_disk(i, 0);
    }
    return m_cluster.run_until(
        [this]
        {
            for (std::size_t i = 0; i < m_cluster.size(); ++i)
            {
                m_cluster.restart(i);
            }
            return all_hosts_agree();
        });
}

// Ignores members that lost their disk and were not admitted again.
bool schedule::all_hosts_agree() const
{
    const auto leader = m_cluster.leader();
    if (!leader ||
        m_cluster.version(*leader) < m_cluster.checker().acknowledged())
    {
        return false;
    }
    const replica_status status = m_cluster.status(*leader);
    bool all = status.commit == status.last_index && status.commit > 0;
    for (const member_status& one : status.members)
    {
        const std::size_t host = m_cluster.index_of(one.who.host);
        const bool whole =
            m_cluster.up(host) && m_cluster.status(host).disk == one.who.disk;
        all = all &&
              (!whole || m_cluster.version(host) == m_cluster.version(*leader));
    }
    return all;
}

} // namespace crowlink::replication
