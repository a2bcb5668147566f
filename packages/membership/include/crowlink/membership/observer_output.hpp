#pragma once

#include "crowlink/membership/membership_send.hpp"
#include "crowlink/membership/place_change.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <vector>

namespace crowlink
{

// What one step of an observer yields: messages, and what the publisher in the
// same process must hear.
struct observer_output
{
    std::vector<membership_send> sends;
    // The newest records of what changed; gone ones are in state gone.
    std::vector<upstream_record> records;
    std::vector<place_change> places;
};

// The answer to an announcement or renewal that the sender's key may not make.
observer_output refuse_announcement(const host_id& from,
                                    const wire::membership_message& in);

} // namespace crowlink
