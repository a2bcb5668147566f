#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/forwarding/packet_header.hpp"

namespace crowlink
{

// Addresses an opening packet to the next candidate of its current chain that
// has another address than `from`, so that its caller need not wait for its own
// retransmission. Returns false if there is none, or the packet opens no flow.
bool forward_opening(packet_header& header, const endpoint& from);

} // namespace crowlink
