#include "part_builder.hpp"

#include "crowlink/membership/balancer_record.hpp"
#include "member_codec.hpp"

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
    if (m_session.snapshot.active && !full())
    {
        add_snapshot(part);
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

bool part_builder::is_latest(const published_service& held,
                             const logged_change& change) const
{
    const std::uint64_t latest =
        m_session.takes_share_changes ? held.fixed_change : held.change;
    return latest == change.number;
}

// Adds the current state of an item, unless a later log entry covers it.
void part_builder::add_change(const logged_change& change,
                              wire::stream_part& part)
{
    if (change.key.id.value().empty())
    {
        const auto found = m_state.services().find(change.key.service);
        if (found != m_state.services().end() &&
            is_latest(found->second, change))
        {
            add_declaration(found->first, found->second, part);
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
        cursor.next.service > service ||
        (cursor.next.service == service && cursor.declarations_done);
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

// Walks declarations and records in one order: for each service its
// declaration, then its members.
void part_builder::add_snapshot(wire::stream_part& part)
{
    snapshot_cursor& cursor = m_session.snapshot;
    while (!full())
    {
        if (!cursor.declarations_done)
        {
            service_id found;
            if (!next_service(cursor.next.service, found))
            {
                end_snapshot(part);
                return;
            }
            cursor.next = record_key{found, upstream_id()};
            const auto declared = m_state.services().find(found);
            if (declared != m_state.services().end() &&
                cursor.covered[bucket_of(found, upstream_id())])
            {
                add_declaration(found, declared->second, part);
            }
            cursor.declarations_done = true;
        }
        add_members(part);
    }
    part.set_filling(cursor.next.service.value());
}

// Adds the members of the service at the cursor. After the last one the cursor
// moves to the next service.
void part_builder::add_members(wire::stream_part& part)
{
    snapshot_cursor& cursor = m_session.snapshot;
    auto record = m_state.records().lower_bound(cursor.next);
    const service_id service = cursor.next.service;
    for (;
         record != m_state.records().end() && record->first.service == service;
         ++record)
    {
        if (full())
        {
            cursor.next = record->first;
            return;
        }
        // Digests leave out gone records. Expired ones are always sent, since a
        // node that starts would otherwise not learn of members that may still
        // be alive.
        if (cursor.covered[bucket_of(service, record->first.id)] ||
            record->second.record.expired)
        {
            add_record(record->second, part);
        }
    }
    cursor.declarations_done = false;
    cursor.next = record_key{service_id(service.value() + 1), upstream_id()};
}

// The first service at or after an id that is subscribed to and known.
bool part_builder::next_service(service_id from, service_id& found) const
{
    const auto& services = m_state.services();
    const auto& records = m_state.records();
    while (true)
    {
        const service_id wanted = m_session.wants.next(from);
        const auto declared = services.lower_bound(wanted);
        const auto record =
            records.lower_bound(record_key{wanted, upstream_id()});
        if (declared == services.end() && record == records.end())
        {
            return false;
        }
        const bool by_record = declared == services.end() ||
                               (record != records.end() &&
                                record->first.service < declared->first);
        found = by_record ? record->first.service : declared->first;
        if (m_session.wants.contains(found))
        {
            return true;
        }
        from = found;
    }
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
    for (std::size_t bucket = 0; bucket < digest_table::bucket_count; ++bucket)
    {
        if (m_session.snapshot.covered[bucket])
        {
            part.add_covered(static_cast<std::uint32_t>(bucket));
        }
    }
    m_added = true;
}

} // namespace crowlink::internal
