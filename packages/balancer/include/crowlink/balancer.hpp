#pragma once

// The balancer module: the decisions of an entry host, without I/O. The control
// side keeps an immutable forwarding set up to date; each traffic thread routes
// packets by the set that it is given. There is no state of flows.
//
//   balancer.hpp          control side: changed views to a new set
//   caller_answer.hpp     what is to be sent to a caller
//   chain_cache.hpp       chains of services with many members, remembered
//   route_decision.hpp    a decision as logs and `explain` show it
//   route_drop.hpp        why a packet was not forwarded
//   routed_packet.hpp     an encoded packet and the agent that it goes to
//   traffic_counts.hpp    what a traffic thread counted
//   traffic_path.hpp      traffic side: packets to agents, answers to callers
//   views_changed.hpp     the event of the control side

#include "crowlink/balancer/balancer.hpp"
#include "crowlink/balancer/caller_answer.hpp"
#include "crowlink/balancer/chain_cache.hpp"
#include "crowlink/balancer/route_decision.hpp"
#include "crowlink/balancer/route_drop.hpp"
#include "crowlink/balancer/routed_packet.hpp"
#include "crowlink/balancer/traffic_counts.hpp"
#include "crowlink/balancer/traffic_path.hpp"
#include "crowlink/balancer/views_changed.hpp"
