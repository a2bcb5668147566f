#pragma once

#include "crowlink/requests/queued_work.hpp"

#include <concepts>
#include <cstddef>

namespace crowlink
{

// Decides which kind's oldest request starts next, and from which kind's
// newest one is shed when the queue is full. Within a kind, order is always
// that of arrival. `pushed` and `taken` are called before the queues change.
template <class Order>
concept queue_order = requires(Order& order, const Order& decided,
                               const kind_queues& queues,
                               const queued_work& work)
{
    Order(std::size_t{});
    order.pushed(work, queues);
    order.taken(work);
    {
        decided.next(queues)
        } -> std::same_as<kind_index>;
    {
        decided.shed_from(work, queues)
        } -> std::same_as<kind_index>;
};

} // namespace crowlink
