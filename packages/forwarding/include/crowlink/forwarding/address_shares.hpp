#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"
#include "crowlink/model/route_terms.hpp"

#include <boost/container/small_vector.hpp>
#include <boost/container/static_vector.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace crowlink::internal
{

// A service and its weight among the services of an address.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const weighted_service&,
                            const weighted_service&) = default;
};

// Stores one element inline, since most addresses belong to one service.
using share_list = boost::container::small_vector<weighted_service, 1>;

// The services that a flow may have been assigned to before; as many as a chain
// has candidates.
struct former_services
{
    boost::container::static_vector<service_id, candidate_chain::capacity>
        services;
    // Whether there are more than these.
    bool has_more = false;
};

// The current and former shares of an address. The service of a flow is
// selected by weighted rendezvous hashing (see forwarding_table), so that a
// change of weights moves the least possible number of flows.
//
// The former services that control publishes are complete for as long as an
// open flow may live. What this host has seen itself only orders them, and
// stands in for control hosts of earlier releases.
class address_shares
{
public:
    // The number of former states that are kept as they were. Of older ones the
    // services alone are kept: a flow may pause while its address changes more
    // often than that.
    static constexpr std::size_t max_former_states = 3;
    // The number of services of older states, the most recent ones.
    static constexpr std::size_t max_older_services = 8;
    // The number of consecutive index updates that an address stays in the
    // index without a service. One document change affects only a few services.
    static constexpr std::uint32_t max_absent_updates = 8;

    // Adds a service to the current shares.
    void add(const weighted_service& added);
    void clear() { m_current.clear(); }
    // Whether the address has no service now.
    bool empty() const { return m_current.empty(); }
    // Whether the address has been without a service for so many index updates
    // that it can be removed. The views of one change arrive one by one, and an
    // address may have no service between two of them.
    bool is_expired() const { return m_absent_updates > max_absent_updates; }
    const share_list& current() const { return m_current; }

    // The terms of the address, or null.
    const route_terms* terms() const { return m_terms ? &*m_terms : nullptr; }
    void set_terms(const route_terms& terms) { m_terms = terms; }

    // Adds services that control publishes as former ones of the address.
    void add_former(const std::vector<service_id>& services);

    // Copies the history of the preceding state of the address, and adds that
    // state to it.
    void inherit_history(const address_shares& before);

    // The service of a new flow; zero if the address has no service.
    service_id choose(std::uint64_t flow_hash) const;
    // The services other than the current one that former states select for
    // the flow, or may have selected for it; those that this host saw last come
    // first. Of more than there is room for, each turn gives others.
    former_services choose_former(std::uint64_t flow_hash,
                                  std::uint32_t turn) const;

private:
    void add_older(const share_list& shares);

    share_list m_current;
    // Former shares, most recent first.
    boost::container::small_vector<share_list, 0> m_former;
    // The services of states before those, most recent first.
    boost::container::small_vector<service_id, 0> m_older;
    // Published by control.
    boost::container::small_vector<service_id, 0> m_published;
    std::uint32_t m_absent_updates = 0;
    std::optional<route_terms> m_terms;
};

} // namespace crowlink::internal
