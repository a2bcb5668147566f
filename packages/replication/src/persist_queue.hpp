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

// Gathers what must become durable while the storage is busy with the request
// before, so that many changes share one sync; and holds back the messages that
// promise something until it is durable.
class persist_queue
{
public:
    // `state` and `last_index` are what the storage holds at the start.
    persist_queue(const hard_state& state, log_index last_index);

    void set_state(const hard_state& state);
    void add_entry(const log_entry& entry);
    void add_snapshot(const snapshot& taken, bool discard_log);

    // Sent once all that was given before is durable.
    void hold(replica_message message);

    // The number of the request that everything given so far is part of.
    std::uint64_t last_sequence() const;

    // The next request, unless one is out or there is nothing to write.
    std::optional<persist_request> take(time_point now);

    // The messages that may go now; none if the number is not that of the
    // request that is out.
    std::vector<replica_message> done(std::uint64_t sequence);

    // Durable up to this entry of the log as it is now.
    log_index durable_index() const { return m_durable_index; }
    const hard_state& durable_state() const { return m_durable_state; }
    std::uint64_t done_sequence() const { return m_done_sequence; }

    // Whether the storage has been busy with one request for so long.
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
    time_point m_taken_at;
    // The last entry that the request which is out makes durable.
    std::optional<log_index> m_in_flight_index;
    hard_state m_in_flight_state;
    log_index m_durable_index = 0;
    hard_state m_durable_state;
    std::deque<held_message> m_held;
};

} // namespace crowlink::replication::internal
