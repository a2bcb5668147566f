#pragma once

#include "crowlink/requests/queue_order.hpp"

namespace crowlink
{

// Start-time fair queueing (Goyal, Vin and Cheng 1996) over kinds: each kind
// with waiting requests gets an equal share of the started weight. Load is shed
// from the kind with the most waiting weight.
class fair_order
{
public:
    explicit fair_order(std::size_t kinds) : m_starts(kinds) {}

    void on_push(const queued_work& work, const kind_queues& queues);
    void on_pop(const queued_work& work);
    kind_index next(const kind_queues& queues) const;
    kind_index kind_to_shed(const queued_work& arriving,
                            const kind_queues& queues) const;

private:
    // Virtual start time of the oldest request of each kind.
    std::vector<std::uint64_t> m_starts;
    // Virtual start time of the most recently started request.
    std::uint64_t m_virtual_time = 0;
};

static_assert(queue_order<fair_order>,
              "fair_order must satisfy the queue order concept");

} // namespace crowlink
