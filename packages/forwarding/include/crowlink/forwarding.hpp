#pragma once

// The forwarding module: which upstreams a flow may go to, in which order.
//
//   address_shares.hpp    the services that share an address
//   candidate.hpp         one agent that may take a flow
//   candidate_chain.hpp   a flow's candidates in order, without allocation
//   member_order.hpp      a chain as indices into a table
//   packet_header.hpp     what travels in front of each packet between hosts
//   flow_tables.hpp       where one flow's packets may go
//   forwarding_set.hpp    all services of a node: address to tables
//   forwarding_table.hpp  a service's immutable table: flow hash to chain
//   removed_service.hpp   a service that is no longer declared
//   service_tables.hpp    a service's current and previous table
//   table_pair.hpp        what routing needs of a service

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
