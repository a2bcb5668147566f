#pragma once

// The replicated log of the control hosts and the operators' document, which is
// a state machine on it. The cores do no I/O: the caller feeds them messages,
// the time and storage completions, and carries out their effects.
//
//   replicated_document.hpp  one control host; the entry point
//   replica.hpp              election, replication, membership, snapshots
//   replica_event.hpp        what can happen to a replica
//   replica_effect.hpp       what a replica asks its caller to do
//   replica_settings.hpp     timeouts and limits
//   replica_status.hpp       status for operators
//   membership.hpp           voters and observers
//   member_change.hpp        one change of the membership
//   voter_policy.hpp         automatic choice of the voters
//   message.hpp              messages between replicas
//   message_codec.hpp        their encoding
//   document_store.hpp       versions of the document, conflicts, retries
//   evacuations.hpp          data centres whose upstreams get no new flows
//   evacuation_change.hpp    an order that starts or ends an evacuation
//   log_storage.hpp          the data folder of a replica
//   file_system.hpp          the file operations that storage needs
//   posix_file_system.hpp    a folder of the operating system

#include "crowlink/replication/document_store.hpp"
#include "crowlink/replication/evacuation_change.hpp"
#include "crowlink/replication/evacuations.hpp"
#include "crowlink/replication/file_system.hpp"
#include "crowlink/replication/log_storage.hpp"
#include "crowlink/replication/member_change.hpp"
#include "crowlink/replication/membership.hpp"
#include "crowlink/replication/message.hpp"
#include "crowlink/replication/message_codec.hpp"
#include "crowlink/replication/posix_file_system.hpp"
#include "crowlink/replication/replica.hpp"
#include "crowlink/replication/replica_effect.hpp"
#include "crowlink/replication/replica_event.hpp"
#include "crowlink/replication/replica_settings.hpp"
#include "crowlink/replication/replica_status.hpp"
#include "crowlink/replication/replicated_document.hpp"
#include "crowlink/replication/voter_policy.hpp"
