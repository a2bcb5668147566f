#pragma once

// The balancer module: the routing logic of an entry host, without I/O. The
// control plane maintains an immutable forwarding set; each traffic thread
// routes packets with the set passed to it. There is no per-flow state.
//
//   balancer.hpp          control plane: builds a new set from changed views
//   caller_answer.hpp     an answer or notice to send to a caller
//   chain_cache.hpp       caches chains of services with many members
//   host_capacity.hpp     an entry host and the capacity of its link
//   rotation_policy.hpp   whether this host takes part in the rotation
//   route_decision.hpp    a routing decision, for logs and `explain`
//   route_drop.hpp        the reason why a packet was not forwarded
//   routed_packet.hpp     an encoded packet and its destination agent
//   traffic_counts.hpp    the counters of a traffic thread
//   traffic_path.hpp      data plane: packets to agents, answers to callers
//   views_changed.hpp     the input of the control plane

#include "crowlink/balancer/balancer.hpp"
#include "crowlink/balancer/caller_answer.hpp"
#include "crowlink/balancer/chain_cache.hpp"
#include "crowlink/balancer/host_capacity.hpp"
#include "crowlink/balancer/rotation_policy.hpp"
#include "crowlink/balancer/route_decision.hpp"
#include "crowlink/balancer/route_drop.hpp"
#include "crowlink/balancer/routed_packet.hpp"
#include "crowlink/balancer/traffic_counts.hpp"
#include "crowlink/balancer/traffic_path.hpp"
#include "crowlink/balancer/views_changed.hpp"
