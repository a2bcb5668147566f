#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/flow_key.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"

#include <cstdint>

namespace crowlink
{

// The role of a packet in its flow, as far as the packet itself shows it.
enum class packet_role : std::uint8_t
{
    // May open a flow or belong to one: a datagram of a UDP service.
    any,
    // Opens a flow: a TCP SYN without ACK.
    opens,
    // Belongs to an existing flow: any other TCP segment.
    continues,
    // Ends a flow immediately: a TCP RST.
    resets,
};

// The phase of a packet's routing among the agents.
enum class packet_pass : std::uint8_t
{
    // Look-up of the flow's owner: from a balancer to the head of the chain,
    // and from an agent that knows the owner to the owner.
    lookup,
    // Admission: no owner was found, and the candidates are asked in turn to
    // admit the flow.
    admit,
    // Placement: all candidates were asked, and the one at `position` is to own
    // the flow.
    place,
    // Traversal of both chains, in an order that all agents agree on.
    walk,
    // The walk found no owner: a copy for a member that may own the flow, which
    // does not forward it. The previous chain holds the sender and the member.
    search,
    // No member of the services searched so far has the flow: the receiver
    // searches in its own. The previous chain holds candidates of the services
    // that remain, the receiver first.
    search_service,
};

// The codec rejects larger values.
constexpr packet_pass last_packet_pass = packet_pass::search_service;

// The header of each caller's packet from a balancer to an agent and between
// agents. It carries all routing state that an agent needs, so that hosts may
// have different tables at the same time.
struct packet_header
{
    static constexpr std::uint8_t no_position = 255;

    service_id service;
    // The digest of the balancer's table; hosts with the same members and
    // policy compute the same value without coordination.
    std::uint64_t table = 0;
    flow_key flow;
    packet_role role = packet_role::any;
    packet_pass pass = packet_pass::lookup;
    // Index of the agent that this packet is sent to, in the concatenation of
    // the two chains.
    std::uint8_t position = 0;
    // The number of agents that have forwarded the packet, to bound loops.
    std::uint8_t hops = 0;
    // The position of the best agent among those asked so far: on a walk one
    // that may adopt the flow after its own restart, on the admit pass the
    // least loaded one. On the place pass, that of the first agent that was to
    // own the flow.
    std::uint8_t best = no_position;
    // On the admit pass, the load that this agent reported, in millionths of
    // its capacity.
    std::uint32_t best_load = 0;
    candidate_chain current;
    // The chain of the previous table; empty if equal to the current one.
    candidate_chain previous;
    // Whether the flow may be at services that the chains have no room for, so
    // that a search among those that they name shows nothing.
    bool omits_services = false;
    // The address to which agents send answers for the caller.
    endpoint return_to;

    friend bool operator==(const packet_header&,
                           const packet_header&) = default;
};

} // namespace crowlink
