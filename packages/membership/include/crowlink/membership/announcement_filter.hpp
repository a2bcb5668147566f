#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/membership/announcement_policy.hpp"
#include "crowlink/membership/observer.hpp"

#include <cstdint>
#include <utility>

namespace crowlink
{

// Passes messages on to an observer, but refuses and counts announcements of
// services that the sender's key may not announce.
template <announcement_policy Policy>
class announcement_filter
{
public:
    explicit announcement_filter(Policy policy) : m_policy(std::move(policy)) {}

    observer_output handle(observer& core, time_point now, const host_id& from,
                           const key_identity& key,
                           const wire::membership_message& in)
    {
        if (allowed(key, in))
        {
            return core.handle(now, from, in);
        }
        ++m_refused;
        return refuse_announcement(from, in);
    }

    // The number of refused announcements and renewals.
    std::uint64_t refused() const { return m_refused; }

    void replace_policy(Policy policy) { m_policy = std::move(policy); }

private:
    bool allowed(const key_identity& key,
                 const wire::membership_message& in) const
    {
        if (in.has_announce())
        {
            return m_policy.may_announce(
                key, service_id(in.announce().record().service()));
        }
        if (in.has_renew())
        {
            return m_policy.may_announce(key, service_id(in.renew().service()));
        }
        return true;
    }

    Policy m_policy;
    std::uint64_t m_refused = 0;
};

} // namespace crowlink
