#pragma once

#include "crowlink/transport/wake_event.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <oneapi/tbb/concurrent_queue.h>
#include <optional>
#include <utility>

namespace crowlink::internal
{

// A bounded queue from many threads to one, which it wakes. A full one refuses
// and counts.
template <class Message>
class mailbox
{
public:
    mailbox(const wake_event& wake, std::size_t capacity) : m_wake(wake)
    {
        m_queue.set_capacity(static_cast<std::ptrdiff_t>(capacity));
    }

    bool post(Message message)
    {
        if (!m_queue.try_push(std::move(message)))
        {
            m_refused.fetch_add(1);
            return false;
        }
        m_wake.signal();
        return true;
    }

    std::optional<Message> take()
    {
        Message message;
        if (!m_queue.try_pop(message))
        {
            return std::nullopt;
        }
        return message;
    }

    std::uint64_t refused() const { return m_refused.load(); }

private:
    const wake_event& m_wake;
    oneapi::tbb::concurrent_bounded_queue<Message> m_queue;
    std::atomic<std::uint64_t> m_refused{0};
};

} // namespace crowlink::internal
