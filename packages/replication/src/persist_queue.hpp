#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/replication/message.hpp"
#include "crowlink/replication/persist_request.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace crowlink::replication::internal
{

// Batches the data that must become durable while the storage is busy with the
// previous request, so that many changes share one sync. Holds back messages
// until the state on which they rely is durable.
class persist_queue
{
public:
    // `state` and `last_index` are those in storage at the start.
    persist_queue(const hard_state& state, log_index last_index);

    void set_state(const hard_state& state);
    void add_entry(const log_entry& entry);
    void add_snapshot(const snapshot& taken, bool discard_log);

    // Holds a message until all data added so far is durable.
    void hold(replica_message message);

    // The sequence number of the request that completes all data added so far.
    std::uint64_t last_sequence() const;

    // The next request; empty if one is in flight or there is nothing to write.
    std::optional<persist_request> start_next(time_point now);

    // Returns the messages that may be sent now; none if the number is not that
    // of the request in flight.
    std::vector<replica_message> complete(std::uint64_t sequence);

    // The present log is durable up to this entry.
    log_index durable_index() const { return m_durable_index; }
    const hard_state& durable_state() const { return m_durable_state; }
    std::uint64_t done_sequence() const { return m_done_sequence; }

    // Whether the request in flight has taken at least `limit`.
    bool stalled(time_point now, duration limit) const;

private:
    struct held_message
    {
        std::uint64_t sequence = 0;
        replica_message message;
    };

    bool in_flight() const { return m_sequence > m_done_sequence; }

    persist_request m_next;
    bool m_dirty = false;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_done_sequence = 0;
    time_point m_started_at;
    // The last entry that the request in flight makes durable.
    std::optional<log_index> m_in_flight_index;
    hard_state m_in_flight_state;
    log_index m_durable_index = 0;
    hard_state m_durable_state;
    std::deque<held_message> m_held;
};

} // namespace crowlink::replication::internal
