#pragma once

#include "crowlink/forwarding/packet_header.hpp"

#include <cstddef>
#include <cstdint>

namespace crowlink::internal
{

// The two chains of a header as one list, by position.

// The candidate at a position, or null behind the last one.
const candidate* candidate_at(const packet_header& header,
                              std::size_t position);

// Whether an agent stands before this position already.
bool seen_before(const packet_header& header, std::size_t position);

// Adds an agent to the previous chain unless it is listed or the chain is
// full.
void add_unseen(packet_header& header, const candidate& next);

// Makes an agent outside the current chain the one addressed: it replaces the
// previous chain.
void address_to(packet_header& header, const candidate& to);

} // namespace crowlink::internal
