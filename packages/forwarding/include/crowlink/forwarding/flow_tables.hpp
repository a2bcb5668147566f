#pragma once

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
    // The tables of the service that the flow was assigned to before the shares
    // changed, if that was another one; an open flow may still be there.
    const table_pair* former = nullptr;
    // What the callers of the address need; null if no view has told it.
    const route_terms* terms = nullptr;
};

} // namespace crowlink
