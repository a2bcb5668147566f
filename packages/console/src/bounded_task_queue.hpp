#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <httplib.h>
#include <mutex>

namespace crowlink::internal
{

// The library's thread pool with a bounded queue. Where the queue is full, the
// thread that accepts connections waits, and further ones wait in the
// kernel's own bounded queue.
class bounded_task_queue final : public httplib::TaskQueue
{
public:
    bounded_task_queue(std::size_t threads, std::size_t max_waiting)
        : m_pool(threads), m_max_pending(threads + max_waiting)
    {
    }

    void enqueue(std::function<void()> task) override
    {
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_room.wait(lock, [this] { return m_pending < m_max_pending; });
            ++m_pending;
        }
        m_pool.enqueue(
            [this, run = std::move(task)]
            {
                run();
                finish();
            });
    }

    void shutdown() override { m_pool.shutdown(); }

private:
    void finish()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_pending;
        m_room.notify_one();
    }

    httplib::ThreadPool m_pool;
    std::size_t m_max_pending;
    std::mutex m_mutex;
    std::condition_variable m_room;
    std::size_t m_pending = 0;
};

} // namespace crowlink::internal
