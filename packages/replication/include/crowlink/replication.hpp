#pragma once

// The replicated log of the control hosts, and the operators' document on it.
// The cores are state machines without I/O; a shell gives them messages, time
// and storage completions, and carries out their effects.
//
//   replicated_document.hpp  the whole of one control host: start here
//   replica.hpp              election, replication, membership, snapshots
//   replica_event.hpp        what can happen to a replica
//   replica_effect.hpp       what a replica wants done
//   replica_settings.hpp     times and bounds
//   replica_status.hpp       what operators see
//   membership.hpp           voters and observers
//   member_change.hpp        one change of them
//   voter_policy.hpp         who votes when no operator decides it
//   message.hpp              what replicas say to each other
//   message_codec.hpp        its bytes
//   document_store.hpp       versions of the document, conflicts, resends
//   evacuations.hpp          data centres whose upstreams get nothing new
//   evacuation_change.hpp    an order about one
//   log_storage.hpp          the data folder
//   file_system.hpp          what the data folder needs of a disk
//   posix_file_system.hpp    a folder of the machine

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
