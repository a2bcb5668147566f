#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <chrono>
#include <compare>
#include <cstddef>
#include <vector>

namespace crowlink::replication
{

// How the initial voters are chosen at the first start of all hosts, where the
// settings name seeds and do not say which hosts have a disk.
struct founding_settings
{
    // All must agree on the voters; the same on all hosts.
    std::vector<host_id> seeds;
    // The voters that are waited for, and those without which the losses that
    // the deployment must bear are not borne.
    std::size_t wanted_voters = 3;
    std::size_t least_voters = 3;
    // From when on hosts that are no seeds may vote: seeds are chosen for the
    // whole deployment, and one that has a disk may still be starting.
    duration seeds_patience = std::chrono::milliseconds(1500);
    // From when on the least are enough, and from when on any number is: a
    // deployment may have fewer hosts with a disk than it asks for.
    duration wanted_patience = std::chrono::seconds(2);
    duration least_patience = std::chrono::seconds(20);
    // Hosts propose one after the other, in the order of their names.
    duration turn = std::chrono::seconds(1);
    duration resend_interval = std::chrono::milliseconds(250);

    friend auto operator<=>(const founding_settings&,
                            const founding_settings&) = default;
};

} // namespace crowlink::replication
