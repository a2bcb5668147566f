#pragma once

#include "crowlink/replication/file_system.hpp"

#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink::replication
{

// A folder of the machine, held by one process at a time through a lock on a
// file in it. A write or sync that failed is never tried again here: after a
// failed fsync the kernel may have dropped the data.
class posix_file_system
{
public:
    // Makes the folder where there is none. An error names the folder; so does
    // the one for a folder that another process holds.
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
    // The descriptor of a file, opened on first use.
    result<int> descriptor(const std::string& name, bool create);
    void forget(const std::string& name);
    void close_all();
    tl::unexpected<error> failure(const std::string& name,
                                  const char* action) const;

    std::filesystem::path m_folder;
    int m_folder_descriptor = -1;
    int m_lock_descriptor = -1;
    std::map<std::string, int> m_open;
};

static_assert(file_system<posix_file_system>,
              "the machine's folder must satisfy the file system concept");

} // namespace crowlink::replication
