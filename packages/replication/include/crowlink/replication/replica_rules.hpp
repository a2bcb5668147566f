#pragma once

#include <compare>

namespace crowlink::replication
{

// The rules that keep the log safe. Only tests switch one off, to show that
// they notice; no setting reaches this.
struct replica_rules
{
    // Ask whether an election could be won before starting one.
    bool pre_vote = true;
    // Heed a vote only between hosts that still have the disks that they were
    // admitted with.
    bool check_disk = true;

    friend auto operator<=>(const replica_rules&,
                            const replica_rules&) = default;
};

} // namespace crowlink::replication
