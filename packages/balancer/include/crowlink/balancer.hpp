#pragma once

// The balancer module: the routing logic of an entry host, without I/O. The
// control plane maintains an immutable forwarding set; each traffic thread
// routes packets with the set passed to it. Routing has no per-flow state; the
// egress scheduler has some, which is soft and bounded.
//
//   balancer.hpp          control plane: builds a new set from changed views
//   bulk_admission.hpp    whether the link can carry another bulk flow in time
//   caller_answer.hpp     an answer or notice to send to a caller
//   chain_cache.hpp       caches chains of services with many members
//   egress_counts.hpp     the counters of an egress scheduler
//   egress_offer.hpp      a routed packet as the egress scheduler gets it
//   egress_packet.hpp     a packet that waits for its turn on the link
//   egress_scheduler.hpp  paces, orders and bounds what is sent to agents
//   egress_verdict.hpp    what becomes of a packet that is to be sent
//   fair_queue.hpp        start-time fair queueing over flows
//   host_capacity.hpp     an entry host and the capacity of its link
//   link_pacer.hpp        paces bytes at a rate
//   rate_meter.hpp        the rate of bytes over the last half second
//   rotation_policy.hpp   whether this host takes part in the rotation
//   route_decision.hpp    a routing decision, for logs and `explain`
//   route_drop.hpp        the reason why a packet was not forwarded
//   routed_packet.hpp     an encoded packet and its destination agent
//   traffic_counts.hpp    the counters of a traffic thread
//   traffic_path.hpp      data plane: packets to agents, answers to callers
//   views_changed.hpp     the input of the control plane

#include "crowlink/balancer/balancer.hpp"
#include "crowlink/balancer/bulk_admission.hpp"
#include "crowlink/balancer/caller_answer.hpp"
#include "crowlink/balancer/chain_cache.hpp"
#include "crowlink/balancer/egress_counts.hpp"
#include "crowlink/balancer/egress_offer.hpp"
#include "crowlink/balancer/egress_packet.hpp"
#include "crowlink/balancer/egress_scheduler.hpp"
#include "crowlink/balancer/egress_verdict.hpp"
#include "crowlink/balancer/fair_queue.hpp"
#include "crowlink/balancer/host_capacity.hpp"
#include "crowlink/balancer/link_pacer.hpp"
#include "crowlink/balancer/rate_meter.hpp"
#include "crowlink/balancer/rotation_policy.hpp"
#include "crowlink/balancer/route_decision.hpp"
#include "crowlink/balancer/route_drop.hpp"
#include "crowlink/balancer/routed_packet.hpp"
#include "crowlink/balancer/traffic_counts.hpp"
#include "crowlink/balancer/traffic_path.hpp"
#include "crowlink/balancer/views_changed.hpp"
