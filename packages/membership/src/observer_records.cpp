#include "crowlink/membership/observer.hpp"

#include "crowlink/base/hash.hpp"
#include "member_codec.hpp"

#include <utility>

// Merging of records, and the indexes and sums derived from them.

namespace crowlink
{

using internal::observed_record;
using internal::record_key;

namespace
{

// Whether a record replaces the held one. Every observer decides alike, in
// whatever order records arrive.
bool supersedes(const observed_record& next, const observed_record& held)
{
    if (!same_version(next.record, held.record))
    {
        return newer(next.record, held.record);
    }
    if (is_gone(next.record) != is_gone(held.record))
    {
        return is_gone(next.record);
    }
    if (has_ended(next.record) != has_ended(held.record))
    {
        return has_ended(next.record);
    }
    return next.home > held.home;
}

std::uint64_t version_hash(const observed_record& held)
{
    if (is_gone(held.record))
    {
        return 0;
    }
    const std::uint64_t content = internal::content_hash(held.record, false);
    const std::uint64_t version = combine_hash(content, held.record.sequence);
    return stable_hash(held.home.value(), version) | 1U;
}

// The contribution of a record to the digest of expired records.
std::uint64_t expired_hash(const upstream_record& record)
{
    if (!record.expired)
    {
        return 0;
    }
    const std::uint64_t named =
        stable_hash(record.id.value(), record.service.value());
    const std::uint64_t life = combine_hash(named, record.started.value());
    return combine_hash(life, record.sequence) | 1U;
}

} // namespace

// One agent has one upstream, so an announcement ends the agent's previous
// upstream, whose agent may have stopped without announcing its end. Otherwise
// the previous one would stay a candidate until its lease expires, seconds
// after its successor has started.
void observer::end_predecessor(time_point now, const upstream_record& present,
                               observer_output& out)
{
    const auto known = m_by_agent.find(present.agent);
    if (known == m_by_agent.end() || known->second == internal::key_of(present))
    {
        return;
    }
    const record_key key = known->second;
    const auto predecessor = m_records.find(key);
    const bool ends = predecessor != m_records.end() &&
                      !has_ended(predecessor->second.record) &&
                      predecessor->second.record.agent == present.agent &&
                      newer(present, predecessor->second.record);
    if (!ends)
    {
        return;
    }
    observed_record ended = predecessor->second;
    ended.record.state = upstream_state::gone;
    ended.record.expired = false;
    // Equals an end announced by the upstream itself, so that nodes do not
    // treat it as silent.
    ++ended.record.sequence;
    ended.home = m_settings.self.id;
    ended.gone_at = now;
    ended.suspect = false;
    store(predecessor->second, std::move(ended), out);
    m_unsent.insert(key);
    m_metrics.count("membership_former_lives_ended_total");
}

// Replaces the held record if the next one supersedes it. Returns whether the
// next one was stored.
bool observer::merge(observed_record next, observer_output& out)
{
    const record_key key = internal::key_of(next.record);
    const auto found = m_records.find(key);
    if (found != m_records.end())
    {
        if (!supersedes(next, found->second))
        {
            return false;
        }
        store(found->second, std::move(next), out);
        return true;
    }
    if (m_records.size() >= m_settings.record_capacity)
    {
        return false;
    }
    observed_record& held = m_records[key];
    held.record.state = upstream_state::gone;
    store(held, std::move(next), out);
    return true;
}

void observer::store(observed_record& held, observed_record next,
                     observer_output& out)
{
    // A node may hold an expired record of the former sequence, which only the
    // next sequence supersedes.
    const bool differs = !(held.record == next.record);
    const std::size_t bucket =
        internal::bucket_of(next.record.service, next.record.id);
    next.bucket = static_cast<std::uint8_t>(bucket);
    next.hash = version_hash(next);
    m_digests.replace(next.record.service, bucket, held.hash, next.hash);
    m_expired_digest += expired_hash(next.record) - expired_hash(held.record);
    m_living += is_gone(next.record) ? 0 : 1;
    m_living -= is_gone(held.record) ? 0 : 1;
    note_agent(held.record, next.record);
    held = std::move(next);
    if (differs)
    {
        out.records.push_back(held.record);
    }
}

void observer::forget(const upstream_record& record)
{
    m_expired_digest -= expired_hash(record);
    forget_agent(record);
}

void observer::forget_agent(const upstream_record& record)
{
    const auto known = m_by_agent.find(record.agent);
    if (known != m_by_agent.end() && known->second == internal::key_of(record))
    {
        m_by_agent.erase(known);
    }
}

// The entry of an expired record is kept, so that the next upstream of the same
// agent ends the record.
void observer::note_agent(const upstream_record& before,
                          const upstream_record& after)
{
    forget_agent(before);
    if (!is_gone(after))
    {
        m_by_agent[after.agent] = internal::key_of(after);
    }
    else if (after.expired)
    {
        m_by_agent.emplace(after.agent, internal::key_of(after));
    }
}

} // namespace crowlink
