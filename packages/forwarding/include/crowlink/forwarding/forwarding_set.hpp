#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/forwarding/address_hash.hpp"
#include "crowlink/forwarding/address_shares.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"
#include "crowlink/forwarding/flow_tables.hpp"
#include "crowlink/forwarding/removed_service.hpp"
#include "crowlink/forwarding/service_tables.hpp"
#include "crowlink/forwarding/table_pair.hpp"

#include <boost/container/static_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace crowlink
{

// An immutable snapshot of all services of a node: maps an address to its
// service, with the current and the previous table of each service. An updated
// set shares unchanged parts with its predecessor. Versions never decrease: a
// view or removal of an older version than the stored one is ignored, and of
// two records of an upstream the newer one is kept.
class forwarding_set
{
public:
    using unaddressed_services =
        boost::container::static_vector<const table_pair*,
                                        candidate_chain::capacity>;

    // Returns a set without services.
    static std::shared_ptr<const forwarding_set> empty();

    // Returns `prior` with the changes applied, or `prior` itself if none has
    // an effect.
    static std::shared_ptr<const forwarding_set>
    with_changes(const std::shared_ptr<const forwarding_set>& prior,
                 std::span<const service_view> views,
                 std::span<const removed_service> removed);

    // The tables of the service at an address, or null; the fast path for
    // packets. Does not allocate.
    const table_pair* tables_at(transport protocol,
                                const endpoint& address) const;
    // The tables for one flow, selected by its hash, since services may share
    // an address. Each turn gives other former services, if there is no room
    // for all. Does not allocate unless there are very many of them.
    flow_tables tables_of(const flow_key& flow, std::uint64_t flow_hash,
                          std::uint32_t turn = 0) const;
    // Services that no address leads to, at most as many as a chain has
    // candidates: open flows may still be there, of any address, since a node
    // that started after a change does not know what led there before.
    const unaddressed_services& unaddressed() const { return m_unaddressed; }
    // The service at an address, or null. Does not allocate.
    const service_tables* find(transport protocol,
                               const endpoint& address) const;
    // The service with this id, or null.
    const service_tables* find(service_id service) const;

    std::size_t size() const { return m_services.size(); }
    // Hash of the content: equal for equal services and tables.
    std::uint64_t digest() const { return m_digest; }

    // Memory of the set and everything it refers to, in bytes.
    std::size_t memory() const;

private:
    using address_index =
        std::unordered_map<internal::service_address, internal::address_shares,
                           internal::address_hash>;

    forwarding_set();

    // Applies one change; returns whether it has an effect.
    bool apply(const service_view& view);
    bool apply(const removed_service& removed);
    bool was_removed_since(const service_view& view) const;
    // Records a removal; returns whether it was unknown.
    bool record_removal(const removed_service& removed);
    void rebuild_lookup(const forwarding_set& prior);
    void find_unaddressed();
    const table_pair* tables_of(service_id service) const;
    bool has_same_addresses(const forwarding_set& other) const;
    std::shared_ptr<const address_index>
    make_index(const address_index& prior) const;

    // Sorted by id.
    std::vector<std::shared_ptr<const service_tables>> m_services;
    // In the order of m_services.
    std::vector<table_pair> m_tables;
    unaddressed_services m_unaddressed;
    std::shared_ptr<const address_index> m_index;
    // Removed services, which late views must not restore. Bounded: the oldest
    // entry is evicted first.
    std::vector<removed_service> m_removed;
    // The sum of the services' digests, so that a change needs no iteration
    // over all services.
    std::uint64_t m_digest = 0;
};

} // namespace crowlink
