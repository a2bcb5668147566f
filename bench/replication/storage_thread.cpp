#include "storage_thread.hpp"

#include <stdexcept>
#include <utility>

namespace crowlink::replication
{

void completion_queue::push(completion done)
{
    const std::lock_guard lock(m_mutex);
    m_done.push_back(done);
    m_wake.notify_one();
}

completion_queue::completion completion_queue::pop()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return !m_done.empty(); });
    const completion done = m_done.front();
    m_done.pop_front();
    return done;
}

bool completion_queue::empty()
{
    const std::lock_guard lock(m_mutex);
    return m_done.empty();
}

storage_thread::storage_thread(const std::filesystem::path& folder,
                               std::size_t host, completion_queue& done)
    : m_host(host)
    , m_done(done)
    , m_files(posix_file_system::open(folder))
    , m_storage(
          log_storage<posix_file_system>::open(*m_files, disk_id(host + 1)))
{
    if (!m_storage)
    {
        throw std::runtime_error(to_string(m_storage.error()));
    }
    m_thread = std::thread([this] { run(); });
}

storage_thread::~storage_thread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wake.notify_one();
    }
    m_thread.join();
}

void storage_thread::write(persist_request request)
{
    const std::lock_guard lock(m_mutex);
    m_requests.push_back(std::move(request));
    m_wake.notify_one();
}

void storage_thread::run()
{
    std::unique_lock lock(m_mutex);
    while (true)
    {
        m_wake.wait(lock, [this] { return m_stopping || !m_requests.empty(); });
        if (m_requests.empty())
        {
            return;
        }
        const persist_request request = std::move(m_requests.front());
        m_requests.pop_front();
        lock.unlock();
        if (!m_storage->write(request))
        {
            std::terminate();
        }
        m_done.push(completion_queue::completion{m_host, request.sequence});
        lock.lock();
    }
}

} // namespace crowlink::replication
