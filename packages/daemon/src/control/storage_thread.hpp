#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/replication/log_storage.hpp"
#include "crowlink/replication/posix_file_system.hpp"
#include "crowlink/transport/wake_event.hpp"
#include "shared/worker_thread.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace crowlink::internal
{

// Writes what the replica wants held, on a thread of its own, so that a slow
// disk never holds up the control thread.
class storage_thread
{
public:
    struct completion
    {
        std::uint64_t sequence = 0;
        duration took{};
        // Present if the write failed.
        std::optional<error> failure;
    };

    // Opens the data folder and reads what it holds. Completions wake the
    // event's thread.
    static result<std::unique_ptr<storage_thread>>
    open(const std::string& folder, replication::disk_id fresh_disk,
         const wake_event& wake);

    storage_thread(const storage_thread&) = delete;
    storage_thread& operator=(const storage_thread&) = delete;
    // Ends the write that is under way, then stops.
    ~storage_thread() = default;

    // What the folder held. To be taken once.
    replication::durable_state take_restored()
    {
        return m_storage->take_restored();
    }

    // The replica has one request out at a time, so none is replaced.
    void write(replication::persist_request request)
    {
        m_writer->request(std::move(request));
    }
    std::optional<completion> next() { return m_writer->next(); }

private:
    using storage_type =
        replication::log_storage<replication::posix_file_system>;

    explicit storage_thread(replication::posix_file_system files);

    completion carry_out(const replication::persist_request& request);

    replication::posix_file_system m_files;
    std::optional<storage_type> m_storage;
    // Ends before what it uses.
    std::optional<worker_thread<replication::persist_request, completion>>
        m_writer;
};

} // namespace crowlink::internal
