#pragma once

#include "shared/mailbox.hpp"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace crowlink::internal
{

// Carries out requests one after the other on a thread of its own. At most one
// waits: a later request takes the place of one that was not begun. Results
// wake the event's thread.
template <class Request, class Result>
class worker_thread
{
public:
    using work = std::function<Result(Request)>;

    worker_thread(const wake_event& wake, work carry_out)
        : m_carry_out(std::move(carry_out))
        , m_done(wake, most_results)
        , m_thread([this] { run(); })
    {
    }

    worker_thread(const worker_thread&) = delete;
    worker_thread& operator=(const worker_thread&) = delete;

    // Ends the request that is under way and the one that waits, then stops.
    ~worker_thread()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wake_worker.notify_one();
        m_thread.join();
    }

    void request(Request wanted)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_request = std::move(wanted);
        }
        m_wake_worker.notify_one();
    }

    std::optional<Result> next() { return m_done.take(); }

private:
    // More than there can be between two rounds of the thread that takes them.
    static constexpr std::size_t most_results = 1024;

    std::optional<Request> wait_for_request()
    {
        std::unique_lock lock(m_mutex);
        m_wake_worker.wait(lock, [this] { return m_request || m_stopping; });
        return std::exchange(m_request, std::nullopt);
    }

    void run()
    {
        while (auto request = wait_for_request())
        {
            m_done.post(m_carry_out(*std::move(request)));
        }
    }

    work m_carry_out;
    mailbox<Result> m_done;
    std::mutex m_mutex;
    std::condition_variable m_wake_worker;
    std::optional<Request> m_request;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace crowlink::internal
