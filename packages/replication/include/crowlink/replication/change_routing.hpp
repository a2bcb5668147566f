#pragma once

#include "crowlink/replication/route_table.hpp"

#include <chrono>
#include <compare>

namespace crowlink::replication
{

// Where the addresses of a changed document lead. The log keeps it beside the
// text, which only the hosts' readers understand.
struct change_routing
{
    route_table routes;
    // On the clock of the log; see route_history. The leader sets it, and how
    // long an open flow may live, when it proposes the change.
    std::chrono::milliseconds proposed_at{};
    std::chrono::milliseconds flow_life{};

    friend auto operator<=>(const change_routing&,
                            const change_routing&) = default;
};

} // namespace crowlink::replication
