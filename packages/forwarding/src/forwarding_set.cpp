#include "crowlink/forwarding/forwarding_set.hpp"

#include "view_merge.hpp"

#include <algorithm>
#include <array>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace crowlink
{

namespace internal
{

std::size_t address_hash::operator()(const service_address& value) const
{
    constexpr unsigned protocol_shift = 16;
    const auto protocol = static_cast<std::uint64_t>(value.protocol);
    const auto& address = value.address.address.bytes();
    return XXH3_64bits_withSeed(address.data(), address.size(),
                                protocol << protocol_shift |
                                    value.address.port);
}

} // namespace internal

namespace
{

// Exceeds the number of services removed while a late view is in transit.
constexpr std::size_t max_removed_services = 1024;

using services = std::vector<std::shared_ptr<const service_tables>>;

template <class Services>
auto lower_bound_of(Services& all, service_id wanted)
{
    return std::lower_bound(
        all.begin(), all.end(), wanted,
        [](const std::shared_ptr<const service_tables>& held, service_id id)
        { return held->service() < id; });
}

bool is_at(const services& all, services::const_iterator position,
           service_id wanted)
{
    return position != all.end() && (*position)->service() == wanted;
}

std::uint64_t digest_of(const service_tables& tables)
{
    const bool has_previous = tables.previous != nullptr;
    return combine_hash(tables.current->digest(),
                        has_previous ? tables.previous->digest() : 0);
}

} // namespace

forwarding_set::forwarding_set()
    : m_index(std::make_shared<const address_index>())
{
}

std::shared_ptr<const forwarding_set> forwarding_set::empty()
{
    return std::shared_ptr<const forwarding_set>(new forwarding_set);
}

std::shared_ptr<const forwarding_set>
forwarding_set::with_changes(const std::shared_ptr<const forwarding_set>& prior,
                             std::span<const service_view> views,
                             std::span<const removed_service> removed)
{
    const std::shared_ptr<forwarding_set> next(new forwarding_set(*prior));
    bool has_effect = false;
    for (const removed_service& removal : removed)
    {
        has_effect = next->apply(removal) || has_effect;
    }
    for (const service_view& view : views)
    {
        has_effect = next->apply(view) || has_effect;
    }
    if (!has_effect)
    {
        return prior;
    }
    next->rebuild_lookup(*prior);
    return next;
}

bool forwarding_set::apply(const service_view& view)
{
    if (was_removed_since(view))
    {
        return false;
    }
    const service_id id = view.declared.id;
    const auto position = lower_bound_of(m_services, id);
    const bool known = is_at(m_services, position, id);
    auto tables = internal::merge_view(known ? position->get() : nullptr, view);
    if (!tables)
    {
        return false;
    }
    m_digest += digest_of(*tables);
    if (known)
    {
        m_digest -= digest_of(**position);
        *position = std::move(tables);
        return true;
    }
    m_services.insert(position, std::move(tables));
    return true;
}

bool forwarding_set::apply(const removed_service& removed)
{
    const auto position = lower_bound_of(m_services, removed.service);
    const bool known = is_at(m_services, position, removed.service);
    if (known && (*position)->view->version > removed.version)
    {
        return false;
    }
    if (known)
    {
        m_digest -= digest_of(**position);
        m_services.erase(position);
    }
    return record_removal(removed) || known;
}

bool forwarding_set::was_removed_since(const service_view& view) const
{
    return std::any_of(m_removed.begin(), m_removed.end(),
                       [&view](const removed_service& removal)
                       {
                           return removal.service == view.declared.id &&
                                  removal.version >= view.version;
                       });
}

bool forwarding_set::record_removal(const removed_service& removed)
{
    const auto found = std::find_if(m_removed.begin(), m_removed.end(),
                                    [&removed](const removed_service& known) {
                                        return known.service == removed.service;
                                    });
    if (found != m_removed.end())
    {
        const bool rises = found->version < removed.version;
        found->version = std::max(found->version, removed.version);
        return rises;
    }
    if (m_removed.size() == max_removed_services)
    {
        m_removed.erase(m_removed.begin());
    }
    m_removed.push_back(removed);
    return true;
}

void forwarding_set::rebuild_lookup(const forwarding_set& prior)
{
    m_tables.clear();
    m_tables.reserve(m_services.size());
    for (const auto& tables : m_services)
    {
        m_tables.push_back(table_pair{tables->service(), tables->current.get(),
                                      tables->previous.get()});
    }
    find_unaddressed();
    if (!has_same_addresses(prior))
    {
        m_index = make_index(*prior.m_index);
    }
}

// Of more services than there is room for, those of the newest views count: a
// change took their addresses last.
void forwarding_set::find_unaddressed()
{
    std::vector<std::size_t> found;
    for (std::size_t at = 0; at < m_services.size(); ++at)
    {
        const service_view& view = *m_services[at]->view;
        const bool is_unaddressed =
            view.declared.addresses.empty() && view.declared.shares.empty();
        if (is_unaddressed && !view.members.empty())
        {
            found.push_back(at);
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [this](std::size_t first, std::size_t second)
                     {
                         return m_services[first]->view->version >
                                m_services[second]->view->version;
                     });
    m_unaddressed.clear();
    for (const std::size_t at : found)
    {
        if (m_unaddressed.size() < m_unaddressed.capacity())
        {
            m_unaddressed.push_back(&m_tables[at]);
        }
    }
}

bool forwarding_set::has_same_addresses(const forwarding_set& other) const
{
    return std::equal(m_services.begin(), m_services.end(),
                      other.m_services.begin(), other.m_services.end(),
                      [](const std::shared_ptr<const service_tables>& first,
                         const std::shared_ptr<const service_tables>& second)
                      {
                          if (first == second)
                          {
                              return true;
                          }
                          const service& one = first->view->declared;
                          const service& two = second->view->declared;
                          return one.id == two.id &&
                                 one.protocol == two.protocol &&
                                 one.addresses == two.addresses &&
                                 one.shares == two.shares &&
                                 one.former == two.former;
                      });
}

std::shared_ptr<const forwarding_set::address_index>
forwarding_set::make_index(const address_index& prior) const
{
    const auto index = std::make_shared<address_index>();
    std::unordered_map<internal::service_address, config_version,
                       internal::address_hash>
        newest;
    for (const auto& tables : m_services)
    {
        const service_view& view = *tables->view;
        const internal::weighted_service sole{view.declared.id, 1};
        for (const endpoint& address : view.declared.addresses)
        {
            const internal::service_address key{address,
                                                view.declared.protocol};
            const auto [entry, added] = newest.emplace(key, view.version);
            // While the views of an address that moves to another service
            // arrive one by one, the address belongs to the service of the
            // newer document.
            if (added || entry->second < view.version)
            {
                entry->second = view.version;
                (*index)[key].clear();
                (*index)[key].add(sole);
            }
        }
    }
    // The view of an unchanged share keeps its older version, so that versions
    // do not show which shares are current: while views arrive, an address has
    // the shares of all services that name it.
    std::unordered_map<internal::service_address, config_version,
                       internal::address_hash>
        newest_terms;
    for (const auto& tables : m_services)
    {
        const service& declared = tables->view->declared;
        for (const former_address& each : declared.former)
        {
            (*index)[internal::service_address{each.address, declared.protocol}]
                .add_former(each.services);
        }
        for (const address_share& share : declared.shares)
        {
            const internal::service_address key{share.address,
                                                declared.protocol};
            internal::address_shares& shares = (*index)[key];
            shares.add(internal::weighted_service{declared.id, share.weight});
            shares.add_former(share.former);
            if (!share.terms)
            {
                continue;
            }
            // All shares of an address have the terms of its route. While the
            // views of a change arrive one by one, the newest are right.
            const config_version version = tables->view->version;
            const auto [entry, added] = newest_terms.emplace(key, version);
            if (added || entry->second < version)
            {
                entry->second = version;
                shares.set_terms(*share.terms);
            }
        }
    }
    for (const auto& [key, before] : prior)
    {
        internal::address_shares& shares = (*index)[key];
        shares.inherit_history(before);
        if (shares.is_expired())
        {
            index->erase(key);
        }
    }
    return index;
}

const table_pair* forwarding_set::tables_of(service_id service) const
{
    const auto position = lower_bound_of(m_services, service);
    if (!is_at(m_services, position, service))
    {
        return nullptr;
    }
    return &m_tables[static_cast<std::size_t>(position - m_services.begin())];
}

flow_tables forwarding_set::tables_of(const flow_key& flow,
                                      std::uint64_t flow_hash,
                                      std::uint32_t turn) const
{
    const auto found =
        m_index->find(internal::service_address{flow.service, flow.protocol});
    if (found == m_index->end())
    {
        return {};
    }
    const internal::address_shares& shares = found->second;
    const internal::former_services former_ones =
        shares.choose_former(flow_hash, turn);
    flow_tables tables{tables_of(shares.choose(flow_hash)),
                       {},
                       former_ones.has_more,
                       shares.terms()};
    for (const service_id former : former_ones.services)
    {
        const table_pair* const known = tables_of(former);
        if (known != nullptr)
        {
            tables.former.push_back(known);
        }
    }
    return tables;
}

const table_pair* forwarding_set::tables_at(transport protocol,
                                            const endpoint& address) const
{
    const flow_key probe{endpoint(), address, protocol};
    return tables_of(probe, 0).chosen;
}

const service_tables* forwarding_set::find(transport protocol,
                                           const endpoint& address) const
{
    const table_pair* pair = tables_at(protocol, address);
    return pair == nullptr ? nullptr : find(pair->service);
}

const service_tables* forwarding_set::find(service_id service) const
{
    const auto position = lower_bound_of(m_services, service);
    return is_at(m_services, position, service) ? position->get() : nullptr;
}

std::size_t forwarding_set::memory() const
{
    // An index node holds its value, its hash and a pointer to the next node.
    constexpr std::size_t node =
        sizeof(address_index::value_type) + 2 * sizeof(void*);
    std::size_t total = sizeof *this;
    total += m_services.capacity() * sizeof(services::value_type);
    total += m_index->size() * node + m_index->bucket_count() * sizeof(void*);
    total += m_tables.capacity() * sizeof(table_pair);
    total += m_removed.capacity() * sizeof(removed_service);
    for (const auto& tables : m_services)
    {
        total += tables->memory();
    }
    return total;
}

} // namespace crowlink
