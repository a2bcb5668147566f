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
    // Grant no vote within the election timeout of the own start, since a lease
    // may have been confirmed just before.
    bool wait_after_start = true;
    // Take a leader's lease for ended only by a message of the term that it
    // led.
    bool check_ended_term = true;
    // Take a leader's disk for lost only by an answer to this host's question.
    bool check_answer_number = true;

    friend auto operator<=>(const replica_rules&,
                            const replica_rules&) = default;
};

} // namespace crowlink::replication
