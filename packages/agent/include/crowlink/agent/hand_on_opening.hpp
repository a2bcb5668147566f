#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/forwarding/packet_header.hpp"

namespace crowlink
{

// Addresses an opening packet to the next candidate of its current chain that
// is not at this agent's address, so that its caller need not wait and send it
// once more. False where there is none, or the packet opens nothing.
bool hand_on_opening(packet_header& header, const endpoint& from);

} // namespace crowlink
