#pragma once

#include "crowlink/forwarding/packet_header.hpp"

#include <cstddef>
#include <cstdint>

namespace crowlink::internal
{

// More agents than a packet meets in a walk over two chains, an admission over
// one, and a few detours.
inline constexpr std::uint8_t hop_limit = 32;

// Whether a packet of this role may open a flow.
bool may_open(packet_role role);

// The two chains of a header as one list, by position.

// The candidate at a position, or null behind the last one.
const candidate* candidate_at(const packet_header& header,
                              std::size_t position);

// The position of an agent, or the number of positions.
std::size_t position_of(const packet_header& header, const candidate& wanted);

// Takes out of the previous chain what is in the current one, and adds an
// agent to it unless it is listed or the chain is full.
void drop_repeated(packet_header& header);
void add_unseen(packet_header& header, const candidate& next);

// Adds an agent to the previous chain of a packet on a walk; where that is
// full, in place of one that was met already.
void add_on_walk(packet_header& header, const candidate& next);

// Makes an agent the one addressed. One that isn't listed takes the last place
// of the current chain; on the lookup pass, that of the whole previous chain.
void address_to(packet_header& header, const candidate& to);
void look_up_at(packet_header& header, const candidate& to);

// Makes an agent the first of the current chain; the rest follows behind it.
void ask_first(packet_header& header, const candidate& first);
// Makes an agent the only one of the current chain.
void ask_only(packet_header& header, const candidate& only);

// Puts an agent in the place of every candidate at its address: lives that its
// upstream had before. Yields whether it is the one addressed then.
bool replace_former_life(packet_header& header, const candidate& present);

// An agent's place in the order of walks for a flow. All agents agree on it,
// and it differs from flow to flow, so that no agent ends all walks.
std::uint64_t walk_order(std::uint64_t flow_hash, const candidate& agent);

} // namespace crowlink::internal
