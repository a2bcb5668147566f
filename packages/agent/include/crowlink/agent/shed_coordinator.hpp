#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/candidate.hpp"

#include <cstddef>
#include <vector>

namespace crowlink::internal
{

// Grants permission to shed to at most a third of a service's upstreams. A new
// coordinator waits until the grants of its predecessor have expired.
class shed_coordinator
{
public:
    explicit shed_coordinator(duration lifetime) : m_lifetime(lifetime) {}

    // Sets whether this agent is the coordinator.
    void set_coordinator(time_point now, bool is_coordinator);

    // Whether the requester may shed for the lifetime of a grant; `upstreams`
    // is the number of upstreams that take flows.
    bool grant(time_point now, upstream_tag asker, std::size_t upstreams);

private:
    struct holder
    {
        upstream_tag tag = 0;
        time_point until{};
    };

    duration m_lifetime;
    bool m_is_coordinator = false;
    time_point m_grants_from{};
    std::vector<holder> m_holders;
};

} // namespace crowlink::internal
