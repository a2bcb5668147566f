#pragma once

#include <compare>
#include <cstdint>

namespace crowlink
{

// The counters of an agent since its start.
struct agent_counts
{
    // Packets of known flows, and answers.
    std::uint64_t delivered = 0;
    std::uint64_t answered = 0;
    // Flows that were admitted, adopted or closed, forwarded during placement,
    // refused, or left to the caller's retransmission.
    std::uint64_t admitted = 0;
    std::uint64_t adopted = 0;
    std::uint64_t closed = 0;
    std::uint64_t handed_off = 0;
    std::uint64_t refused = 0;
    std::uint64_t deferred = 0;
    // Packets forwarded by a redirect, on a walk, or to the agent where the
    // flow is being placed.
    std::uint64_t redirected = 0;
    std::uint64_t looked_up = 0;
    std::uint64_t diverted = 0;
    // Questions to other members about the owners of unknown flows.
    std::uint64_t questions = 0;
    // Flows that neither end closed.
    std::uint64_t returned = 0;
    std::uint64_t silent = 0;
    std::uint64_t unknown_flows = 0;
    // Packets that were dropped, since their flow may be at services that they
    // had no room to name.
    std::uint64_t searches_incomplete = 0;
    // Packets that were not searched for because the search table was full.
    std::uint64_t searches_omitted = 0;
    std::uint64_t upstream_failed = 0;
    std::uint64_t upstream_silent = 0;
    std::uint64_t duplicate_owners = 0;
    std::uint64_t idle_closed = 0;
    // Packets and messages dropped.
    std::uint64_t wrong_service = 0;
    std::uint64_t wrong_tag = 0;
    // Packets for an earlier incarnation of the upstream at this address.
    std::uint64_t former_incarnation = 0;
    std::uint64_t too_many_hops = 0;
    std::uint64_t unknown_answers = 0;
    // Messages sent, and the redirects in them.
    std::uint64_t redirects_published = 0;
    std::uint64_t redirects_withdrawn = 0;
    std::uint64_t notices_sent = 0;
    std::uint64_t loads_sent = 0;
    // Redirects of other agents that were evicted because the table was full.
    std::uint64_t redirects_evicted = 0;

    friend auto operator<=>(const agent_counts&, const agent_counts&) = default;
};

} // namespace crowlink
