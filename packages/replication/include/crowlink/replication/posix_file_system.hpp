#pragma once

#include "crowlink/replication/file_system.hpp"

#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink::replication
{

// A folder of the operating system, which a lock file reserves for one process
// at a time. A failed write or sync is not retried: after a failed fsync the
// kernel may have dropped the data.
class posix_file_system
{
public:
    // Creates the folder if it does not exist. Errors name the folder, also if
    // another process has locked it.
    static result<posix_file_system> open(const std::filesystem::path& folder);

    posix_file_system(posix_file_system&& other) noexcept;
    posix_file_system& operator=(posix_file_system&& other) noexcept;
    ~posix_file_system();

    result<std::vector<std::string>> list();
    result<std::string> read(const std::string& name);
    result<void> append(const std::string& name, std::string_view bytes);
    result<void> truncate(const std::string& name, std::uint64_t size);
    result<void> sync_file(const std::string& name);
    result<void> sync_folder();
    result<void> rename(const std::string& from, const std::string& to);
    result<void> remove(const std::string& name);

private:
    posix_file_system(std::filesystem::path folder, int folder_descriptor,
                      int lock_descriptor);
    // Returns the descriptor of a file, which is opened on first use.
    result<int> descriptor(const std::string& name, bool create);
    void close_file(const std::string& name);
    void close_all();
    tl::unexpected<error> io_error(const std::string& name,
                                   const char* action) const;

    std::filesystem::path m_folder;
    int m_folder_descriptor = -1;
    int m_lock_descriptor = -1;
    std::map<std::string, int> m_descriptors;
};

static_assert(file_system<posix_file_system>,
              "a POSIX folder must satisfy the file system concept");

} // namespace crowlink::replication
