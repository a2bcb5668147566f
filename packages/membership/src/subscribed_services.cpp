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

void subscribed_state::note_older(service_id id, std::uint32_t stream)
{
    const auto found = m_services.find(id);
    if (found != m_services.end())
    {
        found->second.older_stream = stream;
    }
}

void subscribed_state::take_service(const service& declared, bool removed,
                                    std::uint64_t version,
                                    std::uint32_t generation)
{
    if (is_older(version))
    {
        note_older(declared.id, generation);
        return;
    }
    m_staged[declared.id] =
        staged_service{declared, removed, version, generation};
}

subscribed_state::share_outcome
subscribed_state::take_shares(service_id id, std::vector<share_update> updates,
                              const share_context& context)
{
    if (is_older(context.version))
    {
        note_older(id, context.stream);
        return share_outcome::older;
    }
    const auto staged = m_staged.find(id);
    if (staged != m_staged.end())
    {
        if (staged->second.removed)
        {
            return share_outcome::other_base;
        }
        stage_shares(id, std::move(updates), context.version);
        return share_outcome::taken;
    }
    const auto found = m_services.find(id);
    if (found == m_services.end() || found->second.removed ||
        found->second.older_stream == context.stream)
    {
        return share_outcome::other_base;
    }
    subscribed_service& held = found->second;
    // Many parts with terms alone follow one another: each must cost no more
    // than what it tells.
    if (!context.is_complete || !update_terms(held.declared.shares, updates))
    {
        stage_shares(id, std::move(updates), context.version);
        return share_outcome::taken;
    }
    held.version = context.version;
    held.is_hash_stale = true;
    m_stale_hashes.insert(id);
    (context.are_terms_pending ? m_changed_terms : m_changed).insert(id);
    return share_outcome::taken;
}

// The service must be staged or held.
void subscribed_state::stage_shares(service_id id,
                                    std::vector<share_update> updates,
                                    std::uint64_t version)
{
    const bool is_staged = m_staged.count(id) != 0;
    staged_service& staged = m_staged[id];
    if (!is_staged)
    {
        staged.declared = m_services.at(id).declared;
    }
    staged.version = version;
    std::vector<address_share>& shares = staged.declared.shares;
    if (!update_terms(shares, updates))
    {
        shares = merge_shares(shares, std::move(updates));
    }
}

void subscribed_state::sweep_services(
    std::uint64_t version, std::uint32_t generation,
    const std::bitset<digest_table::bucket_count>& covered)
{
    for (const auto& [id, held] : m_services)
    {
        const bool named = held.generation == generation ||
                           m_staged.count(id) != 0 ||
                           !covered[bucket_of(id, upstream_id())];
        if (!named && !held.removed)
        {
            service removed;
            removed.id = id;
            take_service(removed, true, version, generation);
        }
    }
}

bool subscribed_state::put_in_force(std::uint64_t version)
{
    m_version_in_force = std::max(m_version_in_force, version);
    std::map<service_id, staged_service> staged = std::exchange(m_staged, {});
    for (auto& [id, next] : staged)
    {
        put_in_force(id, std::move(next));
    }
    return !staged.empty();
}

void subscribed_state::put_in_force(service_id id, staged_service next)
{
    subscribed_service& held = m_services[id];
    held.version = next.version;
    if (!next.generation)
    {
        held.declared = std::move(next.declared);
        held.is_hash_stale = true;
        m_stale_hashes.insert(id);
        m_changed.insert(id);
        return;
    }
    refresh_hash(id, held);
    held.generation = *next.generation;
    held.older_stream = 0;
    const std::uint64_t hash = next.removed ? 0 : content_hash(next.declared);
    if (hash == held.hash && next.removed == held.removed)
    {
        return;
    }
    m_digests.replace(id, bucket_of(id, upstream_id()), held.hash, hash);
    held.declared = next.removed
                        ? without_addresses(std::move(held.declared), id)
                        : std::move(next.declared);
    held.removed = next.removed;
    held.hash = hash;
    m_changed.insert(id);
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
