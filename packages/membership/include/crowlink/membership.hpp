#pragma once

// The membership module tracks which upstreams and balancers are alive and
// distributes this to the nodes. Announcers (in agents and balancers) keep a
// lease at an observer. Observers (in control hosts) exchange changes. The
// publisher beside each observer streams to each node the services and members
// that it subscribes to. Subscribers (in nodes) turn the streams into service
// views. All are state machines without I/O that exchange
// wire::membership_message.
//
//   balancer_record.hpp      the record of a balancer, and balancer groups
//   announcer.hpp            announces one record and renews its lease
//   announcement_policy.hpp  which key may announce which service
//   announcement_filter.hpp  refuses announcements against the policy
//   observer.hpp             the newest record of every member, leases, expiry
//   publisher.hpp            paced streams to the nodes
//   control_connections.hpp  which control hosts a node is connected to
//   subscriber.hpp           what a node knows, as service views
//   membership_host.hpp      an observer with its publisher
//   *_settings.hpp           the settings of each of them

#include "crowlink/membership/announcement_filter.hpp"
#include "crowlink/membership/announcement_policy.hpp"
#include "crowlink/membership/announcer.hpp"
#include "crowlink/membership/balancer_record.hpp"
#include "crowlink/membership/control_connections.hpp"
#include "crowlink/membership/membership_host.hpp"
#include "crowlink/membership/observer.hpp"
#include "crowlink/membership/publisher.hpp"
#include "crowlink/membership/subscriber.hpp"
