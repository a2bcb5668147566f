#pragma once

#include "crowlink/replication/log_storage.hpp"
#include "crowlink/replication/posix_file_system.hpp"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <filesystem>
#include <functional>
#include <mutex>
#include <thread>

namespace crowlink::replication
{

// Where all hosts' storage threads report what is held.
class completion_queue
{
public:
    struct completion
    {
        std::size_t host = 0;
        std::uint64_t sequence = 0;
    };

    void push(completion done);
    // Waits until there is one.
    completion pop();
    bool empty();

private:
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<completion> m_done;
};

// One host's data folder and the thread that writes to it, as in the daemon.
class storage_thread
{
public:
    storage_thread(const std::filesystem::path& folder, std::size_t host,
                   completion_queue& done);
    storage_thread(const storage_thread&) = delete;
    storage_thread& operator=(const storage_thread&) = delete;
    ~storage_thread();

    durable_state take_restored() { return m_storage->take_restored(); }
    void write(persist_request request);

private:
    void run();

    std::size_t m_host;
    completion_queue& m_done;
    result<posix_file_system> m_files;
    result<log_storage<posix_file_system>> m_storage;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<persist_request> m_requests;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace crowlink::replication
