#include "crowlink/membership/observer.hpp"

#include "crowlink/base/hash.hpp"
#include "member_codec.hpp"

#include <utility>

// How records take each other's place, and what is kept up with them.

namespace crowlink
{

using internal::observed_record;
using internal::record_key;

namespace
{

// Whether a record takes the place of the held one. Every observer decides
// alike, whatever order records come in.
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

// What a record adds to the digest of those whose lease ran out.
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

// One agent has one upstream: what it announces ends the one before, whose
// agent may have had no time to say so. Without this the former one stays a
// candidate until its lease is judged, seconds after others run in its place.
void observer::end_former_life(time_point now, const upstream_record& present,
                               observer_output& out)
{
    const auto known = m_at_agent.find(present.agent);
    if (known == m_at_agent.end() || known->second == internal::key_of(present))
    {
        return;
    }
    const record_key key = known->second;
    const auto former = m_records.find(key);
    const bool ends = former != m_records.end() &&
                      !has_ended(former->second.record) &&
                      former->second.record.agent == present.agent &&
                      newer(present, former->second.record);
    if (!ends)
    {
        return;
    }
    observed_record ended = former->second;
    ended.record.state = upstream_state::gone;
    ended.record.expired = false;
    // As if it had said so itself: nobody need wonder whether it is silent.
    ++ended.record.sequence;
    ended.home = m_settings.self.id;
    ended.gone_at = now;
    ended.suspect = false;
    store(former->second, std::move(ended), out);
    m_unsent.insert(key);
    m_metrics.count("membership_former_lives_ended_total");
}

// Keeps the held record, or replaces it if the next one supersedes it.
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
    const std::uint64_t before = internal::content_hash(held.record, false);
    const std::uint64_t after = internal::content_hash(next.record, false);
    const bool differs =
        before != after || held.record.expired != next.record.expired;
    const std::size_t bucket =
        internal::bucket_of(next.record.service, next.record.id);
    next.bucket = static_cast<std::uint8_t>(bucket);
    next.hash = version_hash(next);
    m_book.replace(next.record.service, bucket, held.hash, next.hash);
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
    const auto known = m_at_agent.find(record.agent);
    if (known != m_at_agent.end() && known->second == internal::key_of(record))
    {
        m_at_agent.erase(known);
    }
}

// Of one whose lease ran out the place is kept, so that its successor ends it.
void observer::note_agent(const upstream_record& before,
                          const upstream_record& after)
{
    forget_agent(before);
    if (!is_gone(after))
    {
        m_at_agent[after.agent] = internal::key_of(after);
    }
    else if (after.expired)
    {
        m_at_agent.emplace(after.agent, internal::key_of(after));
    }
}

} // namespace crowlink
