#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/random.hpp"
#include "crowlink/replication/file_system.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crowlink::replication
{

// A data folder in memory that loses unsynced data in a crash. Each append is
// written in two parts, so that a process may end between them.
class fake_disk
{
public:
    enum class fault : std::uint8_t
    {
        none,
        full,
        read_only,
        sync_fails,
    };

    result<std::vector<std::string>> list();
    result<std::string> read(const std::string& name);
    result<void> append(const std::string& name, std::string_view bytes);
    result<void> truncate(const std::string& name, std::uint64_t size);
    result<void> sync_file(const std::string& name);
    result<void> sync_folder();
    result<void> rename(const std::string& from, const std::string& to);
    result<void> remove(const std::string& name);

    void set_fault(fault value) { m_fault = value; }
    // Ends the process after this many more modifying calls: later calls have
    // no effect until restart_process() or crash().
    void halt_after(std::size_t calls) { m_calls_left = calls; }
    bool halted() const { return m_calls_left == 0; }

    // Starts another process after one that was killed: all is as it was.
    void restart_process() { m_calls_left.reset(); }

    // Restores power after a failure: each unsynced write and truncation is
    // kept, missing or torn by itself, or all of them are lost. Each unsynced
    // change of the folder is kept or lost by itself.
    void crash(seeded_random& random);

    // Inverts one byte, as a failing medium may.
    void corrupt_byte(const std::string& name, std::size_t offset);

private:
    struct unsynced_write
    {
        std::size_t offset = 0;
        std::string bytes;
    };
    struct unsynced_truncation
    {
        std::size_t size = 0;
    };
    using unsynced_change = std::variant<unsynced_write, unsynced_truncation>;

    struct stored_file
    {
        std::string bytes;
        std::string synced;
        // What happened since the last sync, in this order.
        std::vector<unsynced_change> unsynced;
    };
    using folder = std::map<std::string, std::shared_ptr<stored_file>>;

    result<void> change(const std::string& name, fault prevents);
    result<void> write(const std::string& name, std::string_view bytes);
    void lose_folder_changes(seeded_random& random);
    static void lose_content(stored_file& file, seeded_random& random,
                             bool loses_all);

    folder m_files;
    folder m_synced;
    fault m_fault = fault::none;
    std::optional<std::size_t> m_calls_left;
};

static_assert(file_system<fake_disk>,
              "the fake disk must satisfy the file system concept");

} // namespace crowlink::replication
