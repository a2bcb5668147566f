#include "replica_core.hpp"

#include "wire_convert.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::replication::internal
{

namespace
{

constexpr duration hello_interval = std::chrono::seconds(1);
// An older hello does not prove which disk the host has now.
constexpr duration hello_lifetime = std::chrono::seconds(10);
constexpr std::size_t max_non_members = 64;
constexpr std::size_t max_members = 32;
// Five voters, and one more while a host is being replaced.
constexpr std::size_t max_voters = 6;

} // namespace

void replica_core::on(const replica_message& message, const hello& body)
{
    m_non_members[message.from] =
        non_member{message.from_disk, body.blank, body.may_found, m_now};
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

// replicated_document handles forwarded changes; the log ignores them.
void replica_core::on(const replica_message&, const forwarded_change&) {}
void replica_core::on(const replica_message&, const forwarded_answer&) {}

bool replica_core::is_recent(const non_member& seen) const
{
    return m_now - seen.seen <= hello_lifetime;
}

hello replica_core::own_hello() const
{
    return hello{is_blank(), m_settings.founding.has_value()};
}

void replica_core::send_hello()
{
    // A host that was removed while it was down still is a member by its own
    // log, so recent contact with a leader is required as well.
    const bool is_member = members().contains(m_settings.self, m_disk) &&
                           m_now - m_leader_contact < hello_interval;
    const bool is_recent =
        m_hello_sent && m_now - *m_hello_sent < hello_interval;
    if (is_member || is_recent)
    {
        return;
    }
    m_hello_sent = m_now;
    for (const host_id& peer : m_settings.peers)
    {
        send(peer, disk_id(), own_hello());
    }
}

// Sends hello to the hosts that the settings name but that are not members:
// hosts without a disk, which pass on the addresses of the control hosts.
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
    const std::vector<host_id>& initial_voters = m_settings.founding_voters;
    if (initial_voters.empty() || !is_blank() ||
        *std::min_element(initial_voters.begin(), initial_voters.end()) !=
            m_settings.self)
    {
        return;
    }
    std::vector<member> voters;
    for (const host_id& host : initial_voters)
    {
        if (host == m_settings.self)
        {
            voters.push_back(member{host, m_disk, member_role::voter});
            continue;
        }
        // Every initial voter must be reachable with an empty disk: a voter
        // with state shows that the log has been bootstrapped before.
        const auto seen = m_non_members.find(host);
        if (seen == m_non_members.end() || !seen->second.blank ||
            !is_recent(seen->second))
        {
            return;
        }
        voters.push_back(member{host, seen->second.disk, member_role::voter});
    }
    write_first_entry(membership(std::move(voters)), m_disk.value());
}

// Does not admit a removed host, which sends hello with a log, or a host that
// lost its disk, which still is a member; operators decide about both.
void replica_core::admit_observer()
{
    if (!m_settings.admit_observers || !can_change_membership())
    {
        return;
    }
    for (const host_id& host : m_settings.peers)
    {
        const auto seen = m_non_members.find(host);
        const bool waits = seen != m_non_members.end() && seen->second.blank &&
                           is_recent(seen->second) &&
                           members().find(host) == nullptr;
        if (waits && members().members().size() < max_members)
        {
            append_membership(members().with(
                member{host, seen->second.disk, member_role::observer}));
            return;
        }
    }
}

// Otherwise a host that is removed soon after its admission would be regarded
// as a new one.
void replica_core::erase_admitted_from_non_members()
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

void replica_core::handle_event(const propose_membership& event)
{
    if (std::optional<error> cause = proposal_error(0))
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
    if (!can_change_membership())
    {
        return fail(error_kind::unavailable, host,
                    "another membership change is under way");
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
    const bool removes_vote = change.kind == member_change_kind::remove ||
                              change.kind == member_change_kind::demote;
    if (removes_vote && present == nullptr)
    {
        return fail(error_kind::not_found, host, "is not a member");
    }
    if (std::optional<error> cause = membership_error(changed))
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
                    "has sent no hello to the leader");
    }
    const bool votes = present != nullptr && present->disk == disk &&
                       present->role == member_role::voter;
    if (votes)
    {
        return fail(error_kind::invalid, change.host.value(),
                    "already has a vote; demote or remove it first");
    }
    return disk;
}

std::optional<error>
replica_core::membership_error(const membership& changed) const
{
    if (changed.members().size() > max_members ||
        changed.voter_count() > max_voters)
    {
        return error{error_kind::invalid, "members",
                     "too many members or voters"};
    }
    std::size_t reachable = 0;
    for (const member& one : changed.members())
    {
        const auto peer = m_peers.find(one.host);
        const bool is_recent =
            peer != m_peers.end() && peer->second.contact &&
            m_now - *peer->second.contact < m_settings.election_timeout;
        const bool counts = one.role == member_role::voter &&
                            (one.host == m_settings.self || is_recent);
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
        peer.match < m_state.commit || !can_change_membership())
    {
        return;
    }
    const membership changed =
        members().with(member{host, joining->disk, member_role::voter});
    if (!membership_error(changed))
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

bool replica_core::can_change_membership() const
{
    return m_memberships.current_index() <= m_state.commit &&
           m_state.commit >= m_term_start;
}

} // namespace crowlink::replication::internal
