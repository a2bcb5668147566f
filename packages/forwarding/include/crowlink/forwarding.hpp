#pragma once

// The forwarding module: which upstreams a flow may go to, in which order.
//
//   candidate.hpp         one agent that may take a flow
//   candidate_chain.hpp   a flow's candidates in order, without allocation
//   packet_header.hpp     what travels in front of each packet between hosts
//   forwarding_table.hpp  a service's immutable table: flow hash to chain

#include "crowlink/forwarding/candidate.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"
#include "crowlink/forwarding/packet_header.hpp"
