#pragma once

// The model module: what operators declare and what upstreams announce, as
// immutable value types without behaviour. Reading and checking the operators'
// document is the document module's job.
//
//   place.hpp            a data centre and its region
//   request_class.hpp    what the requests of a route allow
//   request_kind.hpp     one kind of request, its weight and idempotency
//   target_limits.hpp    what one upstream can take
//   sharing_policy.hpp   how a service's traffic is shared
//   route.hpp            an address and the services that share it
//   route_terms.hpp      what the callers of a route need
//   address_share.hpp    a service's part of such an address
//   service.hpp          a service with its addresses, limits and policy
//   system_document.hpp  the whole truth: places, services and drains
//   upstream_record.hpp  what an agent announces of its upstream
//   service_view.hpp     a service and its members, as a node knows them

#include "crowlink/model/address_share.hpp"
#include "crowlink/model/place.hpp"
#include "crowlink/model/request_class.hpp"
#include "crowlink/model/request_kind.hpp"
#include "crowlink/model/route.hpp"
#include "crowlink/model/route_terms.hpp"
#include "crowlink/model/service.hpp"
#include "crowlink/model/service_view.hpp"
#include "crowlink/model/sharing_policy.hpp"
#include "crowlink/model/system_document.hpp"
#include "crowlink/model/target_limits.hpp"
#include "crowlink/model/upstream_record.hpp"
