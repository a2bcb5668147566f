#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace crowlink::internal
{

// Lets one thread of the process at a time work on a whole document. More at
// once would not be faster on a host that has a part of a core; they would take
// the memory of several documents, and keep the control thread from the heap
// that all threads share.
class document_turns
{
public:
    using turn = std::unique_lock<document_turns>;

    // Comes before all that wait otherwise: nodes wait for a committed
    // document, and in a storm there is always one more caller.
    turn wait_first()
    {
        std::unique_lock lock(m_mutex);
        ++m_first;
        m_freed.wait(lock, [this] { return !m_taken; });
        --m_first;
        return take();
    }

    turn wait()
    {
        std::unique_lock lock(m_mutex);
        m_freed.wait(lock, [this] { return may_take(); });
        return take();
    }

    // Owns nothing if there was no turn in time.
    turn wait_for(std::chrono::milliseconds patience)
    {
        std::unique_lock lock(m_mutex);
        const bool is_free =
            m_freed.wait_for(lock, patience, [this] { return may_take(); });
        return is_free ? take() : turn();
    }

    // Ends a turn.
    void unlock()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_taken = false;
        }
        m_freed.notify_all();
    }

private:
    bool may_take() const { return !m_taken && m_first == 0; }

    turn take()
    {
        m_taken = true;
        return {*this, std::adopt_lock};
    }

    std::mutex m_mutex;
    std::condition_variable m_freed;
    bool m_taken = false;
    std::size_t m_first = 0;
};

} // namespace crowlink::internal
