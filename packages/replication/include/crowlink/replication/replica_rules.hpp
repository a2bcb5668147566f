#pragma once

#include <compare>

namespace crowlink::replication
{

// The rules that keep the log safe. No setting controls them; tests disable one
// to show that they detect its absence.
struct replica_rules
{
    // Run a pre-vote before an election.
    bool pre_vote = true;
    // Count votes and acknowledgements only between hosts that still have the
    // disks with which they were admitted.
    bool check_disk = true;
    // Grant no vote within the election timeout after a start, because this
    // host may have confirmed a lease just before it.
    bool wait_after_start = true;
    // Regard the lease of a leader as ended only on a message of the term that
    // it led, or of a later one.
    bool check_ended_term = true;
    // Regard the disk of a leader as lost only on an answer that carries the
    // number of this host's question.
    bool check_answer_number = true;

    friend auto operator<=>(const replica_rules&,
                            const replica_rules&) = default;
};

} // namespace crowlink::replication
