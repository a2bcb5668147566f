#pragma once

#include "crowlink/forwarding/candidate_chain.hpp"

#include <boost/container/static_vector.hpp>

namespace crowlink
{

struct route_terms;
struct table_pair;

// The tables that apply to one flow. The pointers are valid as long as the
// forwarding set that returned them.
struct flow_tables
{
    // The tables of a new flow's service; null if no service has the address.
    const table_pair* chosen = nullptr;
    // The tables of other services that the flow may have been assigned to
    // before the shares changed, most recent first; an open flow may still be
    // at one of them.
    boost::container::static_vector<const table_pair*,
                                    candidate_chain::capacity>
        former;
    // Whether the flow may be at more services than `former` has room for.
    bool has_more_former = false;
    // What the callers of the address need; null if no view has told it.
    const route_terms* terms = nullptr;
};

} // namespace crowlink
