#pragma once

#include "crowlink/membership/membership_send.hpp"
#include "crowlink/model/service_view.hpp"

#include <optional>
#include <vector>

namespace crowlink
{

// The result of one step of a subscriber.
struct subscriber_output
{
    std::vector<membership_send> sends;
    // The new views of services that changed.
    std::vector<service_view> changed;
    // All control hosts, if the stream named them.
    std::optional<std::vector<host_id>> control_hosts;
    // Services that the document no longer declares.
    std::vector<service_id> removed;
};

} // namespace crowlink
