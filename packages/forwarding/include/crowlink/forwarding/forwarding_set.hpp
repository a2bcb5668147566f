#pragma once

#include "crowlink/base/flow_key.hpp"
#include "crowlink/forwarding/address_hash.hpp"
#include "crowlink/forwarding/address_shares.hpp"
#include "crowlink/forwarding/flow_tables.hpp"
#include "crowlink/forwarding/removed_service.hpp"
#include "crowlink/forwarding/service_tables.hpp"
#include "crowlink/forwarding/table_pair.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace crowlink
{

// An immutable snapshot of all services of a node: address to service, with
// the current and the previous table of each. A changed set shares with its
// predecessor whatever did not change. Versions only rise: a view or removal of
// an older version than the held one is left out, and of two records of an
// upstream the newer one is kept.
class forwarding_set
{
public:
    // A set without services.
    static std::shared_ptr<const forwarding_set> empty();

    // This set with the changes applied; this set itself if none counts.
    static std::shared_ptr<const forwarding_set>
    changed(const std::shared_ptr<const forwarding_set>& prior,
            std::span<const service_view> views,
            std::span<const removed_service> removed);

    // The tables of the service at an address, or null: the quick way for
    // traffic. Does not allocate.
    const table_pair* tables_at(transport protocol,
                                const endpoint& address) const;
    // The same for one flow, by its hash: an address may be shared among
    // services. Does not allocate.
    flow_tables tables_of(const flow_key& flow, std::uint64_t flow_hash) const;
    // All about the service at an address, or null. Does not allocate.
    const service_tables* find(transport protocol,
                               const endpoint& address) const;
    // The service of this number, or null.
    const service_tables* find(service_id service) const;

    std::size_t size() const { return m_services.size(); }
    // Identifies the content: equal for equal services and tables.
    std::uint64_t digest() const { return m_digest; }

    // The bytes that the set and all that it holds take.
    std::size_t memory() const;

private:
    using address_index =
        std::unordered_map<internal::service_address, internal::address_shares,
                           internal::address_hash>;

    forwarding_set();

    // Takes in one change; yields whether it counts.
    bool apply(const service_view& view);
    bool apply(const removed_service& removed);
    bool was_removed_since(const service_view& view) const;
    // Yields whether the removal was news.
    bool remember(const removed_service& removed);
    void finish(const forwarding_set& prior);
    const table_pair* tables_of(service_id service) const;
    bool same_addresses(const forwarding_set& other) const;
    std::shared_ptr<const address_index>
    make_index(const address_index& prior) const;

    // Sorted by number.
    std::vector<std::shared_ptr<const service_tables>> m_services;
    // In the same order.
    std::vector<table_pair> m_tables;
    std::shared_ptr<const address_index> m_index;
    // Late views must not bring these back. Bounded: the oldest go first.
    std::vector<removed_service> m_removed;
    // The sum over the services, so that a change costs no walk over all.
    std::uint64_t m_digest = 0;
};

} // namespace crowlink
