#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace crowlink
{

struct service_view;

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

private:
    service_id m_service;
    std::uint64_t m_digest = 0;
};

} // namespace crowlink
