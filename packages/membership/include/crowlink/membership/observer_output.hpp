#pragma once

#include "crowlink/membership/membership_send.hpp"
#include "crowlink/membership/place_change.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <vector>

namespace crowlink
{

// The result of one step of an observer: messages to send and changes for the
// publisher in the same process.
struct observer_output
{
    std::vector<membership_send> sends;
    // The newest versions of the records that changed, including gone ones.
    std::vector<upstream_record> records;
    std::vector<place_change> places;
};

// The answer to an announcement or renewal that the sender's key does not
// permit.
observer_output refuse_announcement(const host_id& from,
                                    const wire::membership_message& in);

} // namespace crowlink
