#pragma once

// The membership module: who is there, and who is told. Announcers (in agents
// and balancers) keep a lease at an observer; observers (in control hosts)
// share what changed; publishers beside them send each node the services and
// members that it wants; subscribers (in nodes) yield service views. All are
// state machines without I/O that exchange wire::membership_message.
//
//   balancer_record.hpp      what a balancer announces, and groups of balancers
//   announcer.hpp            announces one record and keeps its lease
//   announcement_policy.hpp  which key may announce which service
//   announcement_gate.hpp    refuses what the policy does not allow
//   observer.hpp             the newest record of everyone, leases, expiry
//   publisher.hpp            streams to nodes, paced
//   subscriber.hpp           a node's knowledge, as service views
//   membership_host.hpp      an observer with its publisher
//   *_settings.hpp           what each of them can be told

#include "crowlink/membership/announcement_gate.hpp"
#include "crowlink/membership/announcement_policy.hpp"
#include "crowlink/membership/announcer.hpp"
#include "crowlink/membership/balancer_record.hpp"
#include "crowlink/membership/membership_host.hpp"
#include "crowlink/membership/observer.hpp"
#include "crowlink/membership/publisher.hpp"
#include "crowlink/membership/subscriber.hpp"
