#pragma once

#include "crowlink/replication/change_routing.hpp"
#include "crowlink/replication/former_route.hpp"

#include <chrono>
#include <compare>
#include <memory>
#include <vector>

namespace crowlink::replication
{

// Where addresses lead and, for as long as open flows may live, where they led
// before. A part of the state machine on the log, so that it outlives every
// process and is the same on all hosts.
//
// The clock of the log advances with the changes: by the time that passed on
// the proposing leader since it applied the last one. It is never ahead of real
// time, so that nothing is forgotten too early, whatever the hosts' clocks say.
class route_history
{
public:
    using former_routes = std::shared_ptr<const std::vector<former_route>>;

    route_history() = default;
    // A history that was saved; `former` must be sorted.
    route_history(route_table current, std::vector<former_route> former,
                  std::chrono::milliseconds time);

    // Takes the routing of the next version.
    void advance(const change_routing& next);

    const route_table& current() const { return m_current; }
    // Sorted, and with at most one entry for an address and service; never
    // null.
    const former_routes& former() const { return m_former; }
    std::chrono::milliseconds time() const { return m_time; }

private:
    route_table m_current;
    former_routes m_former =
        std::make_shared<const std::vector<former_route>>();
    std::chrono::milliseconds m_time{};
};

} // namespace crowlink::replication
