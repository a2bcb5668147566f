#include "part_builder.hpp"

#include "crowlink/membership/balancer_record.hpp"
#include "member_codec.hpp"
#include "version_bytes.hpp"

#include <algorithm>
#include <limits>

namespace crowlink::internal
{

namespace
{

// Tag and length of a nested message in the part.
constexpr std::size_t nested_bytes = 3;

} // namespace

bool selection::contains(service_id service) const
{
    return (all_services && !is_balancer_group(service)) ||
           services.count(service) != 0;
}

service_id selection::next(service_id from) const
{
    if (all_services && !is_balancer_group(from))
    {
        return from;
    }
    const auto found = services.lower_bound(from);
    return found == services.end()
               ? service_id(std::numeric_limits<std::uint32_t>::max())
               : *found;
}

bool part_builder::fill(wire::stream_part& part)
{
    add_changes(m_state.urgent(), m_session.urgent, part);
    if (m_session.takes_share_changes)
    {
        add_share_changes(part);
    }
    if (m_session.snapshot.active && !m_session.snapshot.declarations_done)
    {
        add_snapshot_declarations(part);
    }
    if (m_session.snapshot.active && m_session.snapshot.declarations_done)
    {
        add_snapshot_members(part);
    }
    if (!m_session.snapshot.active)
    {
        add_changes(m_state.ordinary(), m_session.ordinary, part);
        if (m_session.takes_share_changes)
        {
            add_terms(part);
        }
    }
    return m_added;
}

void part_builder::add_changes(const published_state::record_changes& log,
                               std::uint64_t& position, wire::stream_part& part)
{
    for (; position < log.end() && !full(); ++position)
    {
        const logged_change& change = log.at(position);
        if (m_session.wants.contains(change.key.service))
        {
            add_change(change, part);
        }
    }
}

// Adds the current state of an item, unless a later log entry covers it.
void part_builder::add_change(const logged_change& change,
                              wire::stream_part& part)
{
    if (change.key.id.value().empty())
    {
        const published_service* due =
            due_declaration(m_state, m_session, change);
        if (due != nullptr)
        {
            add_declaration(change.key.service, *due, part);
        }
        return;
    }
    const auto found = m_state.records().find(change.key);
    if (found != m_state.records().end() &&
        found->second.change == change.number)
    {
        add_record(found->second, part);
    }
}

void part_builder::add_share_changes(wire::stream_part& part)
{
    const auto& log = m_state.shares();
    for (; m_session.shares < log.end() && !full(); ++m_session.shares)
    {
        const share_key& key = log.at(m_session.shares);
        if (m_session.wants.contains(key.service) &&
            m_state.is_latest_share(m_session.shares) &&
            !comes_with_snapshot(key.service))
        {
            add_share_change(key, part);
        }
    }
}

// Whether the snapshot will contain the service's declaration as it is then.
bool part_builder::comes_with_snapshot(service_id service) const
{
    const snapshot_cursor& cursor = m_session.snapshot;
    const bool is_passed =
        cursor.declarations_done || cursor.next_declared > service;
    return cursor.active && !is_passed &&
           cursor.covered[bucket_of(service, upstream_id())];
}

// Adds the present share, whatever it was when the change was logged.
void part_builder::add_share_change(const share_key& key,
                                    wire::stream_part& part)
{
    const auto found = m_state.services().find(key.service);
    if (found == m_state.services().end() || found->second.removed())
    {
        // The removal of the service tells it.
        return;
    }
    const auto& shares = found->second.held->declared.shares;
    const auto share =
        std::lower_bound(shares.begin(), shares.end(), key.address,
                         [](const address_share& held, const endpoint& wanted)
                         { return held.address < wanted; });
    if (share != shares.end() && share->address == key.address)
    {
        add_share(key.service, *share, part);
        return;
    }
    add_share(key.service, address_share{key.address, 0}, part);
    part.mutable_share_changes()->rbegin()->set_removed(true);
}

void part_builder::add_share(service_id service, const address_share& share,
                             wire::stream_part& part)
{
    wire::share_change& out = *part.add_share_changes();
    out.set_service(service.value());
    write_share(share, *out.mutable_share());
    m_size += out.ByteSizeLong() + nested_bytes;
    m_added = true;
}

void part_builder::add_terms(wire::stream_part& part)
{
    terms_cursor& cursor = m_session.terms;
    if (cursor.sent >= m_state.terms_version())
    {
        return;
    }
    if (cursor.target == 0)
    {
        cursor.target = m_state.version().value();
        cursor.next = share_key();
    }
    const auto& services = m_state.services();
    auto held = services.lower_bound(cursor.next.service);
    for (; held != services.end() && !full(); ++held)
    {
        if (held->first != cursor.next.service)
        {
            cursor.next = share_key{held->first, endpoint()};
        }
        if (!held->second.removed() && m_session.wants.contains(held->first))
        {
            add_terms_of(held->first, *held->second.held, part);
        }
    }
    if (full())
    {
        part.set_terms_pending(true);
        return;
    }
    // Also a part without any terms tells that no more follow.
    m_added = true;
    cursor.sent = cursor.target;
    cursor.target = 0;
}

// Adds the terms of one service from the cursor on, and moves the cursor.
void part_builder::add_terms_of(service_id id, const declaration& held,
                                wire::stream_part& part)
{
    terms_cursor& cursor = m_session.terms;
    const auto& shares = held.declared.shares;
    const auto first =
        std::lower_bound(shares.begin(), shares.end(), cursor.next.address,
                         [](const address_share& share, const endpoint& wanted)
                         { return share.address < wanted; });
    for (auto share = first; share != shares.end(); ++share)
    {
        cursor.next.address = share->address;
        if (full())
        {
            return;
        }
        const auto at = static_cast<std::size_t>(share - shares.begin());
        if (held.terms_changed[at] > cursor.sent)
        {
            add_share(id, *share, part);
        }
    }
    cursor.next = share_key{service_id(id.value() + 1), endpoint()};
}

// The declarations come first, so that the version can be put in force before
// the members have come, which may be many and are sent at the usual rate.
void part_builder::add_snapshot_declarations(wire::stream_part& part)
{
    snapshot_cursor& cursor = m_session.snapshot;
    while (!full())
    {
        const auto held =
            next_declaration(m_state, m_session, cursor.next_declared);
        if (held == m_state.services().end())
        {
            cursor.declarations_done = true;
            part.set_declarations_end(true);
            add_covered(part);
            m_added = true;
            return;
        }
        add_declaration(held->first, held->second, part);
        cursor.next_declared = service_id(held->first.value() + 1);
    }
}

void part_builder::add_snapshot_members(wire::stream_part& part)
{
    snapshot_cursor& cursor = m_session.snapshot;
    const auto& records = m_state.records();
    auto record = next_member(cursor.next);
    while (record != records.end())
    {
        const record_key& key = record->first;
        if (full())
        {
            cursor.next = key;
            part.set_filling(key.service.value());
            return;
        }
        // Digests leave out gone records. Expired ones are always sent, since a
        // node that starts would otherwise not learn of members that may still
        // be alive.
        if (cursor.covered[bucket_of(key.service, key.id)] ||
            record->second.record.expired)
        {
            add_record(record->second, part);
        }
        ++record;
        if (record != records.end() &&
            !m_session.wants.contains(record->first.service))
        {
            record = next_member(record->first);
        }
    }
    end_snapshot(part);
}

// The first member at or after a key that is subscribed to.
std::map<record_key, published_record>::const_iterator
part_builder::next_member(const record_key& from) const
{
    const auto& records = m_state.records();
    auto record = records.lower_bound(from);
    while (record != records.end() &&
           !m_session.wants.contains(record->first.service))
    {
        const service_id passed = record->first.service;
        const service_id next = m_session.wants.next(passed);
        record = next == passed
                     ? records.end()
                     : records.lower_bound(record_key{next, upstream_id()});
    }
    return record;
}

void part_builder::add_declaration(service_id id, const published_service& held,
                                   wire::stream_part& part)
{
    auto& out = *part.add_declared();
    if (held.removed())
    {
        out.set_id(id.value());
        out.set_removed(true);
    }
    else
    {
        write_service(held.held->declared, out);
    }
    m_size += out.ByteSizeLong() + nested_bytes;
    m_added = true;
}

void part_builder::add_record(const published_record& held,
                              wire::stream_part& part)
{
    auto& out = *part.add_members();
    write_member(held.record, *part.mutable_places(), out);
    out.set_drained(held.drained);
    m_size += out.ByteSizeLong() + nested_bytes;
    m_added = true;
}

void part_builder::end_snapshot(wire::stream_part& part)
{
    m_session.snapshot.active = false;
    part.set_snapshot_end(true);
    add_covered(part);
    m_added = true;
}

void part_builder::add_covered(wire::stream_part& part)
{
    if (part.covered_size() > 0)
    {
        return;
    }
    for (std::size_t bucket = 0; bucket < digest_table::bucket_count; ++bucket)
    {
        if (m_session.snapshot.covered[bucket])
        {
            part.add_covered(static_cast<std::uint32_t>(bucket));
        }
    }
}

} // namespace crowlink::internal
