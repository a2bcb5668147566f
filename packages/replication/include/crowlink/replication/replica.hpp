#pragma once

#include "crowlink/base/random.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/replication/durable_state.hpp"
#include "crowlink/replication/replica_effect.hpp"
#include "crowlink/replication/replica_event.hpp"
#include "crowlink/replication/replica_rules.hpp"
#include "crowlink/replication/replica_settings.hpp"
#include "crowlink/replication/replica_status.hpp"

#include <memory>
#include <vector>

namespace crowlink::replication
{

namespace internal
{
class replica_core;
}

// One replica of the log: Raft (Ongaro and Ousterhout, 2014) with pre-vote,
// quorum check, leader lease and observers. A deterministic state machine
// without I/O: the same settings, state, seed, times and events give the same
// effects.
class replica
{
public:
    // `restored` is the state from storage; `random` randomizes the election
    // timeouts.
    replica(replica_settings settings, durable_state restored, time_point now,
            seeded_random random, replica_rules rules = {});
    replica(replica&&) noexcept;
    replica& operator=(replica&&) noexcept;
    ~replica();

    // Applies the entries that are known to be committed. Must be called once,
    // before any event.
    std::vector<replica_effect> start();

    // `now` must not decrease from call to call.
    std::vector<replica_effect> handle(time_point now,
                                       const replica_event& event);

    // Replaces the other control hosts, which get hello and which the leader
    // may admit.
    void set_peers(std::vector<host_id> peers);

    // Whether this replica is the leader, holds its lease and has applied all
    // entries that earlier leaders committed, so that reads are linearizable.
    bool can_read(time_point now) const;

    replica_status status(time_point now) const;

private:
    std::unique_ptr<internal::replica_core> m_core;
};

} // namespace crowlink::replication
