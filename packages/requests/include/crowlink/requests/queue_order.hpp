#pragma once

#include "crowlink/requests/queued_work.hpp"

#include <concepts>
#include <cstddef>

namespace crowlink
{

// Scheduling policy of a work_queue: chooses the kind whose oldest request
// starts next, and the kind whose newest request is shed when the queue is
// full. Within a kind, requests start in the order of arrival. `on_push` and
// `on_pop` are called before the queues change.
template <class Order>
concept queue_order = requires(Order& order, const Order& decided,
                               const kind_queues& queues,
                               const queued_work& work)
{
    Order(std::size_t{});
    order.on_push(work, queues);
    order.on_pop(work);
    {
        decided.next(queues)
        } -> std::same_as<kind_index>;
    {
        decided.kind_to_shed(work, queues)
        } -> std::same_as<kind_index>;
};

} // namespace crowlink
