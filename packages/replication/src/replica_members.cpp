#include "replica_core.hpp"

#include "wire_convert.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::replication::internal
{

namespace
{

constexpr duration hello_interval = std::chrono::seconds(1);
// A hello that is older says nothing about the host's present disk.
constexpr duration hello_lifetime = std::chrono::seconds(10);
constexpr std::size_t max_non_members = 64;
constexpr std::size_t max_members = 32;
// Five, and one more while a host is replaced.
constexpr std::size_t max_voters = 6;
constexpr term_number founding_term = 1;

} // namespace

void replica_core::on(const replica_message& message, const hello& body)
{
    m_non_members[message.from] =
        non_member{message.from_disk, body.blank, m_now};
    if (m_non_members.size() <= max_non_members)
    {
        return;
    }
    const auto oldest =
        std::min_element(m_non_members.begin(), m_non_members.end(),
                         [](const auto& one, const auto& other)
                         { return one.second.seen < other.second.seen; });
    m_non_members.erase(oldest);
}

// Changes are passed on by replicated_document; the log itself ignores them.
void replica_core::on(const replica_message&, const forwarded_change&) {}
void replica_core::on(const replica_message&, const forwarded_answer&) {}

void replica_core::send_hello()
{
    // One that was removed while it was away still finds itself in its log.
    const bool is_member = members().contains(m_settings.self, m_disk) &&
                           m_now - m_leader_contact < hello_interval;
    const bool lately = m_hello_sent && m_now - *m_hello_sent < hello_interval;
    if (is_member || lately)
    {
        return;
    }
    m_hello_sent = m_now;
    for (const host_id& peer : m_settings.peers)
    {
        send(peer, disk_id(), hello{is_blank()});
    }
}

// To those that are named by the settings and are no members: hosts without a
// disk, which tell others where control is.
void replica_core::send_hello_to_non_members()
{
    if (m_hello_sent && m_now - *m_hello_sent < hello_interval)
    {
        return;
    }
    m_hello_sent = m_now;
    for (const host_id& peer : m_settings.peers)
    {
        if (members().find(peer) == nullptr)
        {
            send(peer, disk_id(), hello{false});
        }
    }
}

void replica_core::bootstrap_log()
{
    const std::vector<host_id>& founders = m_settings.founding_voters;
    if (founders.empty() || !is_blank() ||
        *std::min_element(founders.begin(), founders.end()) != m_settings.self)
    {
        return;
    }
    std::vector<member> voters;
    for (const host_id& host : founders)
    {
        if (host == m_settings.self)
        {
            voters.push_back(member{host, m_disk, member_role::voter});
            continue;
        }
        // Every founder must be there with an empty disk: one that remembers
        // anything shows that the log was founded before.
        const auto seen = m_non_members.find(host);
        if (seen == m_non_members.end() || !seen->second.blank ||
            m_now - seen->second.seen > hello_lifetime)
        {
            return;
        }
        voters.push_back(member{host, seen->second.disk, member_role::voter});
    }
    m_state.term = founding_term;
    m_state.cluster = m_disk.value();
    m_queue.set_state(m_state);
    append_entry(log_entry{1, founding_term, entry_kind::membership,
                           encode_membership(membership(std::move(voters)))});
}

// A removed host, or one that lost its disk, is left to the operators: the
// first says hello with a log, the second is a member still.
void replica_core::admit_observer()
{
    if (!m_settings.admit_observers || !membership_settled())
    {
        return;
    }
    for (const host_id& host : m_settings.peers)
    {
        const auto seen = m_non_members.find(host);
        const bool waits = seen != m_non_members.end() && seen->second.blank &&
                           m_now - seen->second.seen <= hello_lifetime &&
                           members().find(host) == nullptr;
        if (waits && members().members().size() < max_members)
        {
            append_membership(members().with(
                member{host, seen->second.disk, member_role::observer}));
            return;
        }
    }
}

// Otherwise a host that is removed soon after would be taken for a new one.
void replica_core::remove_admitted_hosts()
{
    for (const member& one : members().members())
    {
        const auto seen = m_non_members.find(one.host);
        if (seen != m_non_members.end() && seen->second.disk == one.disk)
        {
            m_non_members.erase(seen);
        }
    }
}

void replica_core::take(const propose_membership& event)
{
    if (std::optional<error> cause = refusal(0))
    {
        m_effects.emplace_back(proposal_refused{event.request, *cause});
        return;
    }
    const result<membership> changed = changed_members(event.change);
    if (!changed)
    {
        m_effects.emplace_back(
            proposal_refused{event.request, changed.error()});
        return;
    }
    append_membership(*changed);
    m_effects.emplace_back(
        proposal_appended{event.request, m_log.last_index(), m_state.term});
}

result<membership>
replica_core::changed_members(const member_change& change) const
{
    const std::string& host = change.host.value();
    if (!membership_settled())
    {
        return fail(error_kind::unavailable, host,
                    "another change of the members is under way");
    }
    const member* present = members().find(change.host);
    membership changed;
    if (change.kind == member_change_kind::remove)
    {
        changed = members().without(change.host);
    }
    else if (change.kind == member_change_kind::demote)
    {
        const disk_id disk = present != nullptr ? present->disk : disk_id();
        changed =
            members().with(member{change.host, disk, member_role::observer});
    }
    else
    {
        const result<disk_id> disk = admitted_disk(change);
        if (!disk)
        {
            return tl::unexpected<error>(disk.error());
        }
        const bool joins = change.kind == member_change_kind::add_voter;
        changed = members().with(
            member{change.host, *disk,
                   joins ? member_role::joining : member_role::observer});
    }
    const bool takes_away = change.kind == member_change_kind::remove ||
                            change.kind == member_change_kind::demote;
    if (takes_away && present == nullptr)
    {
        return fail(error_kind::not_found, host, "is no member");
    }
    if (std::optional<error> cause = unsafe(changed))
    {
        return tl::unexpected<error>(*cause);
    }
    return changed;
}

result<disk_id> replica_core::admitted_disk(const member_change& change) const
{
    const member* present = members().find(change.host);
    const auto seen = m_non_members.find(change.host);
    disk_id disk = change.disk;
    if (disk.value() == 0 && seen != m_non_members.end())
    {
        disk = seen->second.disk;
    }
    else if (disk.value() == 0 && present != nullptr)
    {
        disk = present->disk;
    }
    if (disk.value() == 0)
    {
        return fail(error_kind::not_found, change.host.value(),
                    "has not said hello to the leader");
    }
    const bool votes = present != nullptr && present->disk == disk &&
                       present->role == member_role::voter;
    if (votes)
    {
        return fail(error_kind::invalid, change.host.value(),
                    "has a vote already; demote or remove it first");
    }
    return disk;
}

std::optional<error> replica_core::unsafe(const membership& changed) const
{
    if (changed.members().size() > max_members ||
        changed.voter_count() > max_voters)
    {
        return error{error_kind::invalid, "members", "too many"};
    }
    std::size_t reachable = 0;
    for (const member& one : changed.members())
    {
        const auto peer = m_peers.find(one.host);
        const bool lately =
            peer != m_peers.end() && peer->second.contact &&
            m_now - *peer->second.contact < m_settings.election_timeout;
        const bool counts = one.role == member_role::voter &&
                            (one.host == m_settings.self || lately);
        reachable += counts ? 1 : 0;
    }
    if (changed.voter_count() == 0 || reachable < changed.quorum())
    {
        return error{error_kind::unavailable, "members",
                     "the remaining voters that answer are no quorum"};
    }
    return std::nullopt;
}

void replica_core::append_membership(const membership& changed)
{
    append_entry(log_entry{m_log.last_index() + 1, m_state.term,
                           entry_kind::membership, encode_membership(changed)});
    update_peers();
    replicate_all();
}

void replica_core::promote_joining(const host_id& host,
                                   const peer_progress& peer)
{
    const member* joining = members().find(host);
    if (joining == nullptr || joining->role != member_role::joining ||
        peer.match < m_state.commit || !membership_settled())
    {
        return;
    }
    const membership changed =
        members().with(member{host, joining->disk, member_role::voter});
    if (!unsafe(changed))
    {
        append_membership(changed);
    }
}

void replica_core::update_peers()
{
    for (const member& one : members().members())
    {
        if (one.host == m_settings.self)
        {
            continue;
        }
        const auto known = m_peers.find(one.host);
        if (known != m_peers.end() && known->second.disk == one.disk)
        {
            continue;
        }
        peer_progress fresh;
        fresh.disk = one.disk;
        fresh.next = m_log.last_index();
        m_peers[one.host] = fresh;
    }
    for (auto peer = m_peers.begin(); peer != m_peers.end();)
    {
        const bool gone = members().find(peer->first) == nullptr;
        peer = gone ? m_peers.erase(peer) : std::next(peer);
    }
}

bool replica_core::membership_settled() const
{
    return m_memberships.current_index() <= m_state.commit &&
           m_state.commit >= m_term_start;
}

} // namespace crowlink::replication::internal
