#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/observer_settings.hpp"
#include "crowlink/settings/daemon_settings.hpp"

namespace crowlink::internal
{

// Membership's times keep their proportions: they are given for the usual
// lease, and a deployment with a shorter one has all of them shorter.
class lease_scale
{
public:
    explicit lease_scale(const daemon_settings& settings)
        : m_lease(std::chrono::milliseconds(settings.lease_ms))
    {
    }

    duration operator()(duration usual) const
    {
        const observer_settings defaults;
        const double ratio = static_cast<double>(m_lease.count()) /
                             static_cast<double>(defaults.lease.count());
        return std::chrono::duration_cast<duration>(usual * ratio);
    }

private:
    duration m_lease;
};

} // namespace crowlink::internal
