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

// A service's immutable table: maps the hash of a flow to its candidates. Only
// members in state ready are candidates. They are ordered by weighted
// rendezvous hashing (Thaler and Ravishankar 1998; weights by -w/ln u), so that
// a change of one member moves only that member's flows. Holds at most
// member_limit members; further members of a larger service are ignored.
class forwarding_table
{
public:
    static constexpr std::size_t member_limit = 65536;

    // Builds the table of a view. Does not fail; the table may be empty.
    static std::shared_ptr<const forwarding_table>
    build(const service_view& view);

    service_id service() const { return m_service; }

    // Hash of the content: equal for equal members, weights and policy.
    std::uint64_t digest() const { return m_digest; }

    // The candidates of a flow, best first; empty if no member is ready. Does
    // not allocate.
    candidate_chain chain(std::uint64_t flow_hash) const
    {
        return chain_of(order(flow_hash));
    }

    // The two steps of `chain`: `order` takes time proportional to the number
    // of members, `chain_of` takes constant time.
    member_order order(std::uint64_t flow_hash) const;
    candidate_chain chain_of(const member_order& selected) const;

    // Memory of the table, in bytes.
    std::size_t memory() const;

    // The number of members that flows are distributed over.
    std::size_t size() const { return m_members.size(); }

private:
    static constexpr std::size_t inline_members = 4;

    // The fields of a member that a look-up reads. They are stored together,
    // since most services have few members and successive look-ups access
    // different services.
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
    std::size_t m_chain_length = 1;
    bool m_equal_weights = true;
    // Sorted by id. The members of a small service are stored inline, next to
    // fields that the look-up has just read.
    boost::container::small_vector<member, inline_members> m_members;
};

} // namespace crowlink
