#pragma once

// The forwarding module: selects the candidate upstreams of a flow and their
// order.
//
//   address_shares.hpp    weighted selection among the services of an address
//   candidate.hpp         an agent that may own a flow
//   candidate_chain.hpp   a flow's candidates in order, stored inline
//   member_order.hpp      a candidate chain as table indices
//   packet_header.hpp     the header of each packet between hosts
//   flow_tables.hpp       the tables that apply to one flow
//   forwarding_set.hpp    immutable map from address to service tables
//   forwarding_table.hpp  immutable map from flow hash to candidate chain
//   removed_service.hpp   a service removed from the document
//   service_tables.hpp    a service's current and previous table
//   table_pair.hpp        the tables of a service, for packet routing

#include "crowlink/forwarding/address_shares.hpp"
#include "crowlink/forwarding/candidate.hpp"
#include "crowlink/forwarding/candidate_chain.hpp"
#include "crowlink/forwarding/flow_tables.hpp"
#include "crowlink/forwarding/forwarding_set.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"
#include "crowlink/forwarding/member_order.hpp"
#include "crowlink/forwarding/packet_header.hpp"
#include "crowlink/forwarding/removed_service.hpp"
#include "crowlink/forwarding/service_tables.hpp"
#include "crowlink/forwarding/table_pair.hpp"
