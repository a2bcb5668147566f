#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace crowlink
{

struct service_view;
struct upstream_record;

// A service's immutable table: from the hash of a flow to its candidates.
// Only members in state ready are candidates. The order of a flow's candidates
// is the weighted rendezvous order (Thaler and Ravishankar 1998; weights by
// -w/ln u), so that a change of one member moves only that member's flows.
class forwarding_table
{
public:
    // Builds the table of a view; never fails, but may be empty.
    static std::shared_ptr<const forwarding_table>
    build(const service_view& view);

    service_id service() const { return m_service; }

    // Identifies the content: equal for equal members, weights and policy.
    std::uint64_t digest() const { return m_digest; }

    // The candidates of a flow, best first; empty if no member is ready. Does
    // not allocate.
    candidate_chain chain(std::uint64_t flow_hash) const;

    // The bytes that the table takes.
    std::size_t memory() const;

    // The number of candidates to choose from.
    std::size_t size() const { return m_members.size(); }

    // The members that flows are shared among, sorted by id.
    const std::vector<candidate>& members() const { return m_members; }

private:
    forwarding_table() = default;

    void add(const upstream_record& member);
    void finish();
    template <class Cost>
    candidate_chain choose(std::uint64_t flow_hash, const Cost& cost) const;

    service_id m_service;
    std::uint64_t m_digest = 0;
    std::size_t m_length = 1;
    // The next three are parallel, so that a look-up reads only what it needs.
    std::vector<candidate> m_members;
    std::vector<std::uint64_t> m_seeds;
    // Empty if all weights are equal.
    std::vector<double> m_inverse_weights;
};

} // namespace crowlink
