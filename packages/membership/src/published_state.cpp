#include "crowlink/membership/published_state.hpp"

#include "member_codec.hpp"

#include <utility>

namespace crowlink::internal
{

published_state::published_state(std::size_t change_capacity,
                                 std::size_t share_change_capacity,
                                 duration tombstone_life)
    : m_tombstone_life(tombstone_life)
    , m_urgent(change_capacity)
    , m_ordinary(change_capacity)
    , m_shares(share_change_capacity)
{
}

void published_state::set_publication(publication_pointer next)
{
    if (next->version <= m_version)
    {
        return;
    }
    const bool is_known_base =
        m_publication != nullptr && next->base == m_version;
    m_version = next->version;
    if (is_known_base)
    {
        set_changed(*next);
    }
    else
    {
        set_all(*next);
    }
    if (next->drains != m_drains)
    {
        drain(next->drains);
    }
    m_publication = std::move(next);
}

void published_state::set_changed(const document_publication& next)
{
    for (const service_id id : next.changed)
    {
        declare(id, next.services.at(id), true);
    }
    for (const service_id id : next.removed)
    {
        undeclare(id, m_services[id]);
    }
    for (const share_key& each : next.changed_shares)
    {
        log_share(each);
    }
}

void published_state::log_share(const share_key& key)
{
    m_latest_shares[key] = m_shares.end();
    const std::optional<share_key> dropped = m_shares.add(key);
    if (!dropped)
    {
        return;
    }
    const auto latest = m_latest_shares.find(*dropped);
    if (latest != m_latest_shares.end() && latest->second < m_shares.begin())
    {
        m_latest_shares.erase(latest);
    }
}

void published_state::set_all(const document_publication& next)
{
    for (const auto& [id, declared] : next.services)
    {
        declare(id, declared, false);
    }
    for (auto& [id, held] : m_services)
    {
        if (next.services.count(id) == 0)
        {
            undeclare(id, held);
        }
    }
}

// With `are_shares_told` nodes learn of changed shares one by one. The change
// is logged all the same, for those that are sent whole declarations.
void published_state::declare(service_id id,
                              const std::shared_ptr<const declaration>& next,
                              bool are_shares_told)
{
    published_service& held = m_services[id];
    const bool is_known = !held.removed();
    if (is_known && held.hash() == next->hash)
    {
        held.held = next;
        return;
    }
    const bool is_told_by_shares = are_shares_told && is_known &&
                                   held.held->fixed_hash == next->fixed_hash;
    const record_key key{id, upstream_id()};
    m_digests.replace(id, bucket_of(id, key.id), held.hash(), next->hash);
    held.held = next;
    log(key, held.change, true);
    if (!is_told_by_shares)
    {
        held.fixed_change = held.change;
    }
}

void published_state::undeclare(service_id id, published_service& held)
{
    if (held.removed())
    {
        return;
    }
    const record_key key{id, upstream_id()};
    m_digests.replace(id, bucket_of(id, key.id), held.hash(), 0);
    held.held.reset();
    log(key, held.change, true);
    held.fixed_change = held.change;
}

void published_state::drain(const std::set<upstream_id>& drains)
{
    m_drains = drains;
    for (auto& each : m_records)
    {
        published_record& held = each.second;
        const bool drained = m_drains.count(each.first.id) != 0;
        if (drained == held.drained ||
            held.record.state == upstream_state::gone)
        {
            continue;
        }
        const std::uint64_t hash = content_hash(held.record, drained);
        m_digests.replace(each.first.service,
                          bucket_of(each.first.service, each.first.id),
                          held.hash, hash);
        held.drained = drained;
        held.hash = hash;
        log(each.first, held.change, true);
    }
}

void published_state::set_record(time_point now, const upstream_record& record)
{
    const record_key key = key_of(record);
    published_record& held = m_records[key];
    if (newer(held.record, record))
    {
        return;
    }
    const bool gone = record.state == upstream_state::gone;
    const bool drained = !gone && m_drains.count(record.id) != 0;
    const std::uint64_t hash = content_hash(record, drained);
    // A sequence alone reaches nodes that attach. To tell all of them would
    // make each loss of a control host a change of all records that it was home
    // to.
    const bool is_told = gone || hash != held.hash;
    m_digests.replace(record.service, bucket_of(record.service, record.id),
                      held.hash, hash);
    held.record = record;
    held.drained = drained;
    held.hash = hash;
    if (is_told)
    {
        log(key, held.change, record.state != upstream_state::ready);
    }
    if (gone)
    {
        m_tombstones.push_back(tombstone{key, now});
    }
}

void published_state::purge(time_point now)
{
    while (!m_tombstones.empty() &&
           now - m_tombstones.front().since >= m_tombstone_life)
    {
        const auto found = m_records.find(m_tombstones.front().key);
        if (found != m_records.end() &&
            found->second.record.state == upstream_state::gone)
        {
            m_records.erase(found);
        }
        m_tombstones.pop_front();
    }
}

void published_state::log(const record_key& key, std::uint64_t& change,
                          bool is_urgent)
{
    change = ++m_changes;
    record_changes& to = is_urgent ? m_urgent : m_ordinary;
    to.add(logged_change{key, change});
}

} // namespace crowlink::internal
