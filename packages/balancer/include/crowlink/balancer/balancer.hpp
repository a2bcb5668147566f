#pragma once

#include "crowlink/balancer/views_changed.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/forwarding_set.hpp"

#include <memory>

namespace crowlink
{

// The control plane of a balancer: owns the current forwarding set.
class balancer
{
public:
    balancer();

    // Applies changed views. Returns the set that traffic threads use from now
    // on, or null if nothing changed.
    std::shared_ptr<const forwarding_set> handle(time_point now,
                                                 const views_changed& event);

    const std::shared_ptr<const forwarding_set>& snapshot() const
    {
        return m_set;
    }

private:
    std::shared_ptr<const forwarding_set> m_set;
};

} // namespace crowlink
