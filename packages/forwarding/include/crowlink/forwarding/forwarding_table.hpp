#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"
#include "crowlink/forwarding/member_order.hpp"

#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace crowlink
{

struct service_view;
struct upstream_record;

// A service's immutable table: from the hash of a flow to its candidates.
// Only members in state ready are candidates. The order of a flow's candidates
// is the weighted rendezvous order (Thaler and Ravishankar 1998; weights by
// -w/ln u), so that a change of one member moves only that member's flows.
// Holds at most member_limit members; the rest of a larger service is left out.
class forwarding_table
{
public:
    static constexpr std::size_t member_limit = 65536;

    // Builds the table of a view; never fails, but may be empty.
    static std::shared_ptr<const forwarding_table>
    build(const service_view& view);

    service_id service() const { return m_service; }

    // Identifies the content: equal for equal members, weights and policy.
    std::uint64_t digest() const { return m_digest; }

    // The candidates of a flow, best first; empty if no member is ready. Does
    // not allocate.
    candidate_chain chain(std::uint64_t flow_hash) const
    {
        return chain_of(order(flow_hash));
    }

    // The two steps of `chain`: the first one takes time in proportion to the
    // members, the second one does not.
    member_order order(std::uint64_t flow_hash) const;
    candidate_chain chain_of(const member_order& found) const;

    // The bytes that the table takes.
    std::size_t memory() const;

    // The number of members that flows are shared among.
    std::size_t size() const { return m_members.size(); }

private:
    static constexpr std::size_t members_in_place = 4;

    // What a look-up reads of a member; kept together, since most services
    // have few members and each look-up is at another service.
    struct member
    {
        std::uint64_t seed = 0;
        double inverse_weight = 1.0;
        candidate target;
    };

    forwarding_table() = default;

    void add(const upstream_record& record);

    service_id m_service;
    std::uint64_t m_digest = 0;
    std::size_t m_length = 1;
    bool m_equal_weights = true;
    // Sorted by id. Those of a small service lie in the table itself, where
    // the look-up has just been.
    boost::container::small_vector<member, members_in_place> m_members;
};

} // namespace crowlink
