#include "crowlink/membership/published_state.hpp"

#include "member_codec.hpp"

#include <utility>

namespace crowlink::internal
{

published_state::published_state(std::size_t change_capacity,
                                 duration tombstone_life)
    : m_tombstone_life(tombstone_life)
    , m_urgent(change_capacity)
    , m_ordinary(change_capacity)
{
}

void published_state::set_document(config_version version,
                                   const system_document& next)
{
    if (version <= m_version)
    {
        return;
    }
    m_version = version;
    std::set<service_id> kept;
    for (const service& each : with_shares(next))
    {
        kept.insert(each.id);
        declare(each);
    }
    undeclare(kept);
    drain(std::set<upstream_id>(next.drains.begin(), next.drains.end()));
}

void published_state::declare(const service& next)
{
    const std::uint64_t hash = content_hash(next);
    published_service& held = m_services[next.id];
    if (held.hash == hash && !held.removed)
    {
        return;
    }
    const record_key key{next.id, upstream_id()};
    m_digests.replace(next.id, bucket_of(next.id, key.id), held.hash, hash);
    held.declared = next;
    held.removed = false;
    held.hash = hash;
    log(key, held.change, true);
}

void published_state::undeclare(const std::set<service_id>& kept)
{
    for (auto& each : m_services)
    {
        published_service& held = each.second;
        if (held.removed || kept.count(each.first) != 0)
        {
            continue;
        }
        const record_key key{each.first, upstream_id()};
        m_digests.replace(each.first, bucket_of(each.first, key.id), held.hash,
                          0);
        held.removed = true;
        held.hash = 0;
        log(key, held.change, true);
    }
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
    change_log& to = is_urgent ? m_urgent : m_ordinary;
    to.add(logged_change{key, change});
}

} // namespace crowlink::internal
