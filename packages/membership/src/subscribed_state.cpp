#include "crowlink/membership/subscribed_state.hpp"

#include "crowlink/membership/balancer_record.hpp"
#include "member_codec.hpp"

#include <algorithm>
#include <utility>

namespace crowlink
{

const char* to_string(loss_reason reason)
{
    switch (reason)
    {
    case loss_reason::lease_expired:
        return "lease_expired";
    case loss_reason::absent:
        return "absent";
    default:
        return "ended";
    }
}

} // namespace crowlink

namespace crowlink::internal
{

namespace
{

// How long a record must be absent from a publisher's snapshots before it is
// considered gone, since the publisher may have just started.
constexpr duration absent_grace = std::chrono::seconds(20);
// The same if many records are absent at once.
constexpr duration mass_absent_grace = std::chrono::minutes(5);
constexpr std::size_t mass_absent_minimum = 16;
constexpr std::size_t mass_absent_divisor = 3;
// The limits of lost and of returned members that are kept until they are
// taken.
constexpr std::size_t max_kept = 256;

// Whether a record may replace the held one.
bool supersedes(const upstream_record& next, const subscribed_record& held)
{
    if (!same_version(next, held.record))
    {
        return newer(next, held.record);
    }
    return is_gone(next) ? !is_gone(held.record) : held.removed_as_absent;
}

// The record of a member before its lease expired.
upstream_record record_before_expiry(const upstream_record& expired,
                                     const subscribed_record& held)
{
    if (!expired.expired)
    {
        return held.record;
    }
    upstream_record living = expired;
    living.state = upstream_state::ready;
    living.expired = false;
    return living;
}

} // namespace

bool subscribed_state::take_record(time_point now,
                                   const upstream_record& record, bool drained,
                                   std::uint64_t version,
                                   std::uint32_t generation)
{
    const record_key key = key_of(record);
    const bool unknown = m_records.count(key) == 0;
    subscribed_record& held = m_records[key];
    if (unknown)
    {
        held.record.state = upstream_state::gone;
    }
    const bool same = same_version(record, held.record);
    const bool next = unknown || supersedes(record, held);
    // An old drain mark is better than none for a record that was not known.
    const bool current =
        unknown || version >= std::max(held.drain_version, m_complete_version);
    const bool marks = (next || same) && current;
    const bool mark = marks && drained != held.drained;
    held.generation = generation;
    held.absent_since.reset();
    if (marks)
    {
        held.drained = drained;
        held.drain_version = version;
    }
    if (!next && !mark)
    {
        return false;
    }
    if (next)
    {
        m_living += is_gone(record) ? 0 : 1;
        m_living -= is_gone(held.record) ? 0 : 1;
        // Control hosts of earlier releases do not report that a lease expired.
        // An announced end would have incremented the sequence.
        const bool is_silent =
            record.expired || (same && is_gone(record) && !unknown);
        if (is_gone(record) && !is_gone(held.record))
        {
            note_lost(held,
                      is_silent ? loss_reason::lease_expired
                                : loss_reason::ended,
                      record.sequence);
        }
        if (held.last_living_record && !is_gone(record))
        {
            note_returned(now, held, record);
        }
        held.last_living_record =
            is_silent ? std::optional(record_before_expiry(record, held))
                      : std::nullopt;
        held.record = record;
        held.removed_as_absent = false;
        held.gone_at = now;
    }
    replace_hash(key, held);
    mark_changed(key.service);
    return true;
}

bool subscribed_state::set_lost_places(std::set<place_id> lost)
{
    return replace_places(m_lost_places, std::move(lost));
}

bool subscribed_state::set_unreachable(std::set<place_id> unreachable,
                                       std::set<place_id> given_up)
{
    const bool changes = replace_places(m_unreachable, std::move(unreachable));
    return replace_places(m_given_up, std::move(given_up)) || changes;
}

bool subscribed_state::set_evacuated(std::uint64_t revision,
                                     std::set<place_id> evacuated)
{
    if (revision < m_evacuations_revision)
    {
        return false;
    }
    m_evacuations_revision = revision;
    return replace_places(m_evacuated, std::move(evacuated));
}

// Marks the services that have members in an added or removed data centre.
bool subscribed_state::replace_places(std::set<place_id>& held,
                                      std::set<place_id> next)
{
    if (next == held)
    {
        return false;
    }
    std::set<place_id> changed;
    std::set_symmetric_difference(next.begin(), next.end(), held.begin(),
                                  held.end(),
                                  std::inserter(changed, changed.begin()));
    held = std::move(next);
    for (const auto& each : m_records)
    {
        if (changed.count(each.second.record.where) != 0)
        {
            mark_changed(each.first.service);
        }
    }
    return true;
}

void subscribed_state::set_complete_version(std::uint64_t version)
{
    const bool is_first = m_complete_version == 0 && version > 0;
    m_complete_version = version;
    if (is_first)
    {
        mark_undeclared();
    }
}

// Marks the services that have records and no declaration.
void subscribed_state::mark_undeclared()
{
    for (const auto& each : m_records)
    {
        const service_id service = each.first.service;
        if (!is_declared(service) && !is_balancer_group(service))
        {
            m_changed.insert(service);
        }
    }
}

void subscribed_state::sweep_members(
    time_point now, std::uint32_t generation,
    const std::bitset<digest_table::bucket_count>& covered)
{
    const std::size_t absent = count_absent(generation, covered);
    const bool mass =
        absent > mass_absent_minimum && absent * mass_absent_divisor > m_living;
    const duration grace = mass ? mass_absent_grace : absent_grace;
    for (auto& each : m_records)
    {
        subscribed_record& held = each.second;
        const bool named =
            held.generation == generation || is_gone(held.record) ||
            !covered[bucket_of(each.first.service, each.first.id)];
        if (named)
        {
            continue;
        }
        if (!held.absent_since)
        {
            held.absent_since = now;
        }
        if (now - *held.absent_since >= grace)
        {
            note_lost(held, loss_reason::absent, held.record.sequence);
            held.last_living_record = held.record;
            held.record.state = upstream_state::gone;
            held.removed_as_absent = true;
            held.gone_at = now;
            --m_living;
            replace_hash(each.first, held);
            mark_changed(each.first.service);
        }
    }
}

std::size_t subscribed_state::count_absent(
    std::uint32_t generation,
    const std::bitset<digest_table::bucket_count>& covered) const
{
    return static_cast<std::size_t>(std::count_if(
        m_records.begin(), m_records.end(),
        [generation, &covered](const auto& each)
        {
            return each.second.generation != generation &&
                   !is_gone(each.second.record) &&
                   covered[bucket_of(each.first.service, each.first.id)];
        }));
}

void subscribed_state::purge(time_point now, duration life)
{
    for (auto each = m_records.begin(); each != m_records.end();)
    {
        const bool old =
            is_gone(each->second.record) && now - each->second.gone_at >= life;
        each = old ? m_records.erase(each) : std::next(each);
    }
    for (auto each = m_services.begin(); each != m_services.end();)
    {
        const bool old = each->second.removed &&
                         each->second.version <= m_complete_version &&
                         !has_members(each->first);
        each = old ? m_services.erase(each) : std::next(each);
    }
}

void subscribed_state::replace_hash(const record_key& key,
                                    subscribed_record& held)
{
    const std::uint64_t hash = content_hash(held.record, held.drained);
    m_digests.replace(key.service, bucket_of(key.service, key.id), held.hash,
                      hash);
    held.hash = hash;
}

void subscribed_state::note_lost(const subscribed_record& held,
                                 loss_reason reason,
                                 std::uint64_t told_sequence)
{
    if (m_lost.size() < max_kept)
    {
        m_lost.push_back(lost_member{held.record.service, held.record.id,
                                     reason, held.record.sequence,
                                     told_sequence});
    }
}

void subscribed_state::note_returned(time_point now,
                                     const subscribed_record& held,
                                     const upstream_record& next)
{
    if (m_returned.size() < max_kept)
    {
        m_returned.push_back(
            returned_member{next.service, next.id, held.record.sequence,
                            next.sequence, now - held.gone_at});
    }
}

// A change of a balancer affects every view that lists it.
void subscribed_state::mark_changed(service_id service)
{
    if (!is_balancer_group(service))
    {
        m_changed.insert(service);
        return;
    }
    ++m_balancers_revision;
    if (!m_lists_balancers)
    {
        return;
    }
    for (const auto& each : m_services)
    {
        m_changed.insert(each.first);
    }
    mark_undeclared();
}

std::set<service_id> subscribed_state::take_changed()
{
    return std::exchange(m_changed, {});
}

bool subscribed_state::is_declared(service_id id) const
{
    const auto found = m_services.find(id);
    return found != m_services.end() && !found->second.removed;
}

bool subscribed_state::has_members(service_id id) const
{
    auto member = m_records.lower_bound(record_key{id, upstream_id()});
    for (; member != m_records.end() && member->first.service == id; ++member)
    {
        const subscribed_record& held = member->second;
        if (!is_gone(held.record) || held.last_living_record)
        {
            return true;
        }
    }
    return false;
}

std::optional<service_view> subscribed_state::view(service_id id) const
{
    // Before the first document is complete, a service without a declaration
    // is one whose declaration is still to come.
    const bool is_complete = m_complete_version > 0;
    if (!is_declared(id) && !(is_complete && has_members(id)))
    {
        return std::nullopt;
    }
    service_view out;
    const auto found = m_services.find(id);
    if (found == m_services.end())
    {
        out.declared.id = id;
        out.version = config_version(m_complete_version);
    }
    else
    {
        out.declared = found->second.declared;
        out.version = config_version(found->second.version);
    }
    auto member = m_records.lower_bound(record_key{id, upstream_id()});
    for (; member != m_records.end() && member->first.service == id; ++member)
    {
        const subscribed_record& held = member->second;
        upstream_record record = held.last_living_record.value_or(held.record);
        if (is_gone(record))
        {
            continue;
        }
        const bool is_silent = held.last_living_record ||
                               m_lost_places.count(record.where) != 0 ||
                               m_unreachable.count(record.where) != 0;
        if (is_silent)
        {
            const bool is_given_up = m_given_up.count(record.where) != 0;
            record.state = is_given_up ? upstream_state::unreachable
                                       : upstream_state::silent;
        }
        else if (held.drained || m_evacuated.count(record.where) != 0)
        {
            record.state = upstream_state::draining;
        }
        out.members.push_back(std::move(record));
    }
    if (!m_lists_balancers)
    {
        return out;
    }
    const record_key groups{service_id(first_balancer_group), upstream_id()};
    for (auto each = m_records.lower_bound(groups); each != m_records.end();
         ++each)
    {
        const upstream_record& record = each->second.record;
        if (is_living(record))
        {
            out.balancers.push_back(record.agent);
        }
    }
    std::sort(out.balancers.begin(), out.balancers.end());
    return out;
}

bool subscribed_state::is_living(const upstream_record& balancer) const
{
    return balancer.state == upstream_state::ready &&
           m_lost_places.count(balancer.where) == 0;
}

std::vector<upstream_record>
subscribed_state::balancers(const place_id& where) const
{
    const service_id group = balancer_group(where);
    std::vector<upstream_record> out;
    auto each = m_records.lower_bound(record_key{group, upstream_id()});
    for (; each != m_records.end() && each->first.service == group; ++each)
    {
        const upstream_record& record = each->second.record;
        // Two data centres may share a group.
        if (record.where == where && is_living(record))
        {
            out.push_back(record);
        }
    }
    return out;
}

} // namespace crowlink::internal
