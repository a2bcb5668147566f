#include "replica_core.hpp"

#include "wire_convert.hpp"

#include "crowlink/base/hash.hpp"

#include <algorithm>

// The choice of the initial voters by the seeds.

namespace crowlink::replication::internal
{

namespace
{

constexpr term_number bootstrap_term = 1;

} // namespace

// A host whose log holds anything, or that does not take part in a first start,
// gives no answer: what it once accepted it may have forgotten.
void replica_core::on(const replica_message& message,
                      const founding_request& body)
{
    if (!m_settings.founding || !is_blank())
    {
        return;
    }
    if (body.phase == founding_phase::decided)
    {
        found_with(body.voters);
        return;
    }
    if (knows_of_a_log() && !m_acceptor.has_accepted())
    {
        return;
    }
    send(message.from, message.from_disk, m_acceptor.handle(body));
}

void replica_core::on(const replica_message& message,
                      const founding_reply& body)
{
    if (m_proposer && is_blank())
    {
        m_proposer->take(m_now, message.from, body);
    }
}

std::vector<member> replica_core::founding_candidates() const
{
    std::vector<member> out{
        member{m_settings.self, m_disk, member_role::voter}};
    for (const auto& [host, seen] : m_non_members)
    {
        if (seen.blank && seen.may_found && is_recent(seen))
        {
            out.push_back(member{host, seen.disk, member_role::voter});
        }
    }
    return out;
}

// A host that holds something shows that the log was founded before. Seeds that
// restarted may have forgotten it.
bool replica_core::knows_of_a_log() const
{
    return std::any_of(m_non_members.begin(), m_non_members.end(),
                       [this](const auto& each) {
                           return !each.second.blank && is_recent(each.second);
                       });
}

void replica_core::propose_voters()
{
    if (!m_settings.founding || !is_blank() || knows_of_a_log())
    {
        return;
    }
    if (!m_proposer)
    {
        m_proposer.emplace(*m_settings.founding, m_settings.self, m_random(),
                           m_now);
    }
    if (const auto request = m_proposer->tick(m_now, founding_candidates()))
    {
        ask_seeds(*request);
    }
    if (const std::optional<membership>& voters = m_proposer->decided())
    {
        tell_voters(*voters);
        found_with(*voters);
    }
}

void replica_core::ask_seeds(const founding_request& request)
{
    for (const host_id& seed : m_settings.founding->seeds)
    {
        if (seed == m_settings.self)
        {
            m_proposer->take(m_now, seed, m_acceptor.handle(request));
            continue;
        }
        send(seed, disk_id(), request);
    }
}

void replica_core::tell_voters(const membership& voters)
{
    for (const member& one : voters.members())
    {
        if (one.host != m_settings.self)
        {
            send(one.host, one.disk,
                 founding_request{founding_phase::decided, {}, voters});
        }
    }
}

// The entry is the same on each host that writes it.
void replica_core::found_with(const membership& voters)
{
    if (voters.is_voter(m_settings.self, m_disk))
    {
        write_first_entry(voters, stable_hash(encode_membership(voters)) | 1U);
    }
}

void replica_core::write_first_entry(const membership& voters,
                                     std::uint64_t cluster)
{
    m_state.term = bootstrap_term;
    m_state.cluster = cluster;
    m_queue.set_state(m_state);
    append_entry(log_entry{1, bootstrap_term, entry_kind::membership,
                           encode_membership(voters)});
}

} // namespace crowlink::replication::internal
