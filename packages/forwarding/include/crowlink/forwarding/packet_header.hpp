#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"

#include <cstdint>

namespace crowlink
{

// What a packet means for its flow, as far as the packet itself says.
enum class packet_role : std::uint8_t
{
    // May open a flow or belong to one: a datagram of a UDP service.
    any,
    // Opens a flow: a TCP SYN without ACK.
    opens,
    // Belongs to a flow that exists: any other TCP segment.
    continues,
    // Ends a flow at once: a TCP RST.
    resets,
};

// Which way a packet is on.
enum class packet_pass : std::uint8_t
{
    // Looks for the flow's owner: from a balancer to the head of the chain,
    // and from an agent that knows the owner to that.
    lookup,
    // No owner was found: the candidates are asked in turn to admit the flow.
    admit,
    // The candidates were asked; the one at `position` is to take the flow.
    place,
    // Goes through both chains, in an order that all agents agree on.
    walk,
    // The walk met no owner: a copy for a member that may have the flow, and
    // goes no further. The previous chain names who sent it, and the member.
    search,
};

// The codec takes nothing beyond this one.
constexpr packet_pass last_packet_pass = packet_pass::search;

// What travels in front of each caller's packet from a balancer to an agent
// and from agent to agent. It carries all that an agent needs, so that tables
// need not be equal everywhere at one moment.
struct packet_header
{
    static constexpr std::uint8_t no_position = 255;

    service_id service;
    // Identifies the balancer's table by its content; two hosts with the same
    // members and policy have the same number without any agreement.
    std::uint64_t table = 0;
    flow_key flow;
    packet_role role = packet_role::any;
    packet_pass pass = packet_pass::lookup;
    // Index into the two chains, taken as one list, of the agent that this
    // packet is sent to.
    std::uint8_t position = 0;
    // The number of agents it went through, to bound loops.
    std::uint8_t hops = 0;
    // The position of the agent that fits best among those asked so far: on
    // the lookup pass one that may take the flow up again after its own
    // restart, on the admit pass the least loaded one.
    std::uint8_t best = no_position;
    // On the admit pass, the load of that agent as it stated it, in millionths
    // of what it can take.
    std::uint32_t best_load = 0;
    candidate_chain current;
    // The chain by the table before; empty if it is equal to the current one.
    candidate_chain previous;
    // Where answers for the caller go.
    endpoint return_to;

    friend bool operator==(const packet_header&,
                           const packet_header&) = default;
};

} // namespace crowlink
