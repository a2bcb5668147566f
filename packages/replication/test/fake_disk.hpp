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
#include <vector>

namespace crowlink::replication
{

// A data folder in memory that loses unsynced data in a crash.
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
    // Simulates a power failure after this many more modifying calls: later
    // calls have no effect until crash().
    void halt_after(std::size_t calls) { m_calls_left = calls; }
    bool halted() const { return m_calls_left == 0; }

    // Restores power: a random part of the unsynced data is kept, and its last
    // byte may be corrupt. Each unsynced change of the folder is kept or lost
    // by itself.
    void crash(seeded_random& random);

    // Inverts one byte, as a failing medium may.
    void corrupt_byte(const std::string& name, std::size_t offset);

private:
    struct stored_file
    {
        std::string bytes;
        std::string synced;
    };
    using folder = std::map<std::string, std::shared_ptr<stored_file>>;

    result<void> change(const std::string& name, fault prevents);
    void lose_folder_changes(seeded_random& random);

    folder m_files;
    folder m_synced;
    fault m_fault = fault::none;
    std::optional<std::size_t> m_calls_left;
};

static_assert(file_system<fake_disk>,
              "the fake disk must satisfy the file system concept");

} // namespace crowlink::replication
