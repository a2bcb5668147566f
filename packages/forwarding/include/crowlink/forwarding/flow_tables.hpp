#pragma once

namespace crowlink
{

struct table_pair;

// Where one flow's packets may go. The tables live as long as the set that
// they come from.
struct flow_tables
{
    // Where a new flow goes; null where nothing leads on from its address.
    const table_pair* chosen = nullptr;
    // Where it would have gone before shares changed, if that was another
    // service; a flow that is open may be there.
    const table_pair* former = nullptr;
};

} // namespace crowlink
