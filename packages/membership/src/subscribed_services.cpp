#include "crowlink/membership/subscribed_state.hpp"

#include "member_codec.hpp"
#include "share_merge.hpp"

#include <algorithm>
#include <utility>

// The declarations that a node holds.

namespace crowlink::internal
{

namespace
{

// What is left of a declaration once the document no longer lists the service:
// it gets no new flows, and its members keep the open ones.
service without_addresses(service declared, service_id id)
{
    declared.id = id;
    declared.addresses.clear();
    declared.shares.clear();
    return declared;
}

} // namespace

bool subscribed_state::is_older(service_id id, std::uint64_t version) const
{
    const auto found = m_services.find(id);
    const std::uint64_t held =
        found == m_services.end() ? 0 : found->second.version;
    return version < std::max(held, m_complete_version);
}

void subscribed_state::note_older(service_id id, std::uint32_t stream)
{
    const auto found = m_services.find(id);
    if (found != m_services.end())
    {
        found->second.older_stream = stream;
    }
}

bool subscribed_state::take_service(const service& declared, bool removed,
                                    std::uint64_t version,
                                    std::uint32_t generation)
{
    if (is_older(declared.id, version))
    {
        note_older(declared.id, generation);
        return false;
    }
    subscribed_service& held = m_services[declared.id];
    refresh_hash(declared.id, held);
    m_partial.erase(declared.id);
    held.version = version;
    held.generation = generation;
    held.older_stream = 0;
    const std::uint64_t hash = removed ? 0 : content_hash(declared);
    if (hash == held.hash && removed == held.removed)
    {
        return false;
    }
    m_digests.replace(declared.id, bucket_of(declared.id, upstream_id()),
                      held.hash, hash);
    held.declared =
        removed ? without_addresses(held.declared, declared.id) : declared;
    held.removed = removed;
    held.hash = hash;
    m_changed.insert(declared.id);
    return true;
}

subscribed_state::share_outcome
subscribed_state::take_shares(service_id id, std::vector<share_update> updates,
                              std::uint64_t version, std::uint32_t stream,
                              bool are_terms_pending)
{
    if (is_older(id, version))
    {
        note_older(id, stream);
        return share_outcome::older;
    }
    const auto found = m_services.find(id);
    if (found == m_services.end() || found->second.removed ||
        found->second.older_stream == stream)
    {
        return share_outcome::other_base;
    }
    subscribed_service& held = found->second;
    // Many parts with terms alone follow one another: each must cost no more
    // than what it tells.
    const bool only_terms = update_terms(held.declared.shares, updates);
    if (!only_terms)
    {
        held.declared.shares =
            merge_shares(held.declared.shares, std::move(updates));
    }
    held.version = version;
    m_partial.insert(id);
    held.is_hash_stale = true;
    m_stale_hashes.insert(id);
    const bool waits = only_terms && are_terms_pending;
    (waits ? m_changed_terms : m_changed).insert(id);
    return share_outcome::taken;
}

void subscribed_state::release_terms()
{
    m_changed.merge(m_changed_terms);
    m_changed_terms.clear();
}

void subscribed_state::refresh_hash(service_id id, subscribed_service& held)
{
    if (!held.is_hash_stale)
    {
        return;
    }
    const std::uint64_t hash = content_hash(held.declared);
    m_digests.replace(id, bucket_of(id, upstream_id()), held.hash, hash);
    held.hash = hash;
    held.is_hash_stale = false;
}

const digest_table& subscribed_state::digests()
{
    for (const service_id id : std::exchange(m_stale_hashes, {}))
    {
        const auto found = m_services.find(id);
        if (found != m_services.end())
        {
            refresh_hash(id, found->second);
        }
    }
    return m_digests;
}

} // namespace crowlink::internal
