#include "control/storage_thread.hpp"

#include <utility>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t most_completions = 16;

} // namespace

storage_thread::storage_thread(replication::posix_file_system files,
                               const wake_event& wake)
    : m_files(std::move(files)), m_done(wake, most_completions)
{
}

result<std::unique_ptr<storage_thread>>
storage_thread::open(const std::string& folder, replication::disk_id fresh_disk,
                     const wake_event& wake)
{
    auto files = replication::posix_file_system::open(folder);
    if (!files)
    {
        return tl::unexpected(files.error());
    }
    std::unique_ptr<storage_thread> made(
        new storage_thread(std::move(*files), wake));
    auto storage = storage_type::open(made->m_files, fresh_disk);
    if (!storage)
    {
        return tl::unexpected(storage.error());
    }
    made->m_storage.emplace(std::move(*storage));
    storage_thread& running = *made;
    made->m_thread = std::thread([&running] { running.run(); });
    return made;
}

storage_thread::~storage_thread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake_writer.notify_one();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void storage_thread::write(replication::persist_request request)
{
    {
        const std::lock_guard lock(m_mutex);
        m_request = std::move(request);
    }
    m_wake_writer.notify_one();
}

std::optional<replication::persist_request> storage_thread::wait_for_request()
{
    std::unique_lock lock(m_mutex);
    m_wake_writer.wait(lock, [this] { return m_request || m_stopping; });
    return std::exchange(m_request, std::nullopt);
}

void storage_thread::run()
{
    const steady_clock_source clock;
    while (auto request = wait_for_request())
    {
        const time_point begun = clock.now();
        const result<void> held = m_storage->write(*request);
        completion done;
        done.sequence = request->sequence;
        done.took = clock.now() - begun;
        if (!held)
        {
            done.failure = held.error();
        }
        m_done.post(std::move(done));
    }
}

} // namespace crowlink::internal
