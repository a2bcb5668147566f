#include "control/storage_thread.hpp"

#include <utility>

namespace crowlink::internal
{

storage_thread::storage_thread(replication::posix_file_system files)
    : m_files(std::move(files))
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
    std::unique_ptr<storage_thread> made(new storage_thread(std::move(*files)));
    auto storage = storage_type::open(made->m_files, fresh_disk);
    if (!storage)
    {
        return tl::unexpected(storage.error());
    }
    made->m_storage.emplace(std::move(*storage));
    made->m_writer.emplace(
        wake, [&writing = *made](const replication::persist_request& request)
        { return writing.carry_out(request); });
    return made;
}

storage_thread::completion
storage_thread::carry_out(const replication::persist_request& request)
{
    const steady_clock_source clock;
    const time_point begun = clock.now();
    const result<void> held = m_storage->write(request);
    completion done;
    done.sequence = request.sequence;
    done.took = clock.now() - begun;
    if (!held)
    {
        done.failure = held.error();
    }
    return done;
}

} // namespace crowlink::internal
