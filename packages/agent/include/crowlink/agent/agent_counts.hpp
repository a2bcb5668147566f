#pragma once

#include <compare>
#include <cstdint>

namespace crowlink
{

// What an agent has counted since its start.
struct agent_counts
{
    // Packets of known flows, and answers.
    std::uint64_t delivered = 0;
    std::uint64_t answered = 0;
    // Flows that came in, went out, or were sent on while being placed.
    std::uint64_t admitted = 0;
    std::uint64_t adopted = 0;
    std::uint64_t closed = 0;
    std::uint64_t handed_off = 0;
    std::uint64_t refused = 0;
    std::uint64_t deferred = 0;
    // Packets sent on by a redirect, on a walk, or to where the flow is placed.
    std::uint64_t redirected = 0;
    std::uint64_t looked_up = 0;
    std::uint64_t diverted = 0;
    // Questions to other members for owners of unknown flows.
    std::uint64_t questions = 0;
    // Flows that ended otherwise than by their ends' wish.
    std::uint64_t returned = 0;
    std::uint64_t silent = 0;
    std::uint64_t unknown_flows = 0;
    // Packets that were not searched for, for want of room.
    std::uint64_t searches_omitted = 0;
    std::uint64_t upstream_failed = 0;
    std::uint64_t upstream_silent = 0;
    std::uint64_t duplicate_owners = 0;
    std::uint64_t idle_closed = 0;
    // Packets and messages dropped.
    std::uint64_t wrong_service = 0;
    std::uint64_t wrong_tag = 0;
    // Packets for an upstream that ran here before the present one.
    std::uint64_t former_life = 0;
    std::uint64_t too_many_hops = 0;
    std::uint64_t unknown_answers = 0;
    // Messages sent and what they held.
    std::uint64_t redirects_published = 0;
    std::uint64_t redirects_withdrawn = 0;
    std::uint64_t notices_sent = 0;
    std::uint64_t loads_sent = 0;
    // Redirects of others that were forgotten for want of room.
    std::uint64_t redirects_evicted = 0;

    friend auto operator<=>(const agent_counts&, const agent_counts&) = default;
};

} // namespace crowlink
