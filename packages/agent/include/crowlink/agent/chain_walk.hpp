#pragma once

#include "crowlink/forwarding/packet_header.hpp"

#include <cstddef>
#include <cstdint>

namespace crowlink::internal
{

// Exceeds the hops of a walk over two chains, an admission over one chain, and
// a few detours.
inline constexpr std::uint8_t hop_limit = 32;

// Whether a packet of this role may open a flow.
bool may_open(packet_role role);

// The functions below treat the two chains of a header as one list, by
// position.

// The candidate at a position, or null beyond the last one.
const candidate* candidate_at(const packet_header& header,
                              std::size_t position);

// The position of an agent, or the number of positions.
std::size_t position_of(const packet_header& header, const candidate& wanted);

// Removes from the previous chain the agents of the current one, and adds an
// agent to it unless it is listed or the chain is full.
void remove_duplicates(packet_header& header);
void add_if_absent(packet_header& header, const candidate& next);

// Adds an agent to the previous chain of a packet on a walk; in a full chain it
// replaces an agent that the walk has already visited.
void add_on_walk(packet_header& header, const candidate& next);

// Addresses the header to an agent. An unlisted agent becomes the last of the
// current chain; on the lookup pass it replaces the whole previous chain.
void address_to(packet_header& header, const candidate& to);
void address_lookup_to(packet_header& header, const candidate& to);

// Makes an agent the first of the current chain; the other candidates follow.
void set_first_candidate(packet_header& header, const candidate& first);
// Makes an agent the only one of the current chain.
void set_only_candidate(packet_header& header, const candidate& only);

// Replaces every candidate at an agent's address by the present one: the others
// are earlier incarnations of its upstream. Returns whether the header is then
// addressed to it.
bool replace_former_incarnation(packet_header& header,
                                const candidate& present);

// An agent's position in the order of walks for a flow. All agents compute the
// same order, and it differs between flows, so that the last agents of walks
// are spread evenly.
std::uint64_t walk_order(std::uint64_t flow_hash, const candidate& agent);

} // namespace crowlink::internal
