#include "crowlink/replication/posix_file_system.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace crowlink::replication
{

namespace
{

constexpr const char* lock_name = "lock";
constexpr mode_t file_mode = 0600;

std::string errno_message()
{
    return std::generic_category().message(errno);
}

} // namespace

result<posix_file_system>
posix_file_system::open(const std::filesystem::path& folder)
{
    std::error_code code;
    std::filesystem::create_directories(folder, code);
    const int descriptor =
        ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
    {
        return fail(error_kind::storage, folder.string(),
                    "cannot open the data folder: " + errno_message());
    }
    const int lock = ::openat(descriptor, lock_name,
                              O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (lock < 0 || ::flock(lock, LOCK_EX | LOCK_NB) != 0)
    {
        const std::string cause = errno == EWOULDBLOCK
                                      ? "another process holds the lock"
                                      : errno_message();
        if (lock >= 0)
        {
            ::close(lock);
        }
        ::close(descriptor);
        return fail(error_kind::storage, folder.string(),
                    "cannot lock the data folder: " + cause);
    }
    return posix_file_system(folder, descriptor, lock);
}

posix_file_system::posix_file_system(std::filesystem::path folder,
                                     int folder_descriptor, int lock_descriptor)
    : m_folder(std::move(folder))
    , m_folder_descriptor(folder_descriptor)
    , m_lock_descriptor(lock_descriptor)
{
}

posix_file_system::posix_file_system(posix_file_system&& other) noexcept
    : m_folder(std::move(other.m_folder))
    , m_folder_descriptor(std::exchange(other.m_folder_descriptor, -1))
    , m_lock_descriptor(std::exchange(other.m_lock_descriptor, -1))
    , m_descriptors(std::exchange(other.m_descriptors, {}))
{
}

posix_file_system&
posix_file_system::operator=(posix_file_system&& other) noexcept
{
    std::swap(m_folder, other.m_folder);
    std::swap(m_folder_descriptor, other.m_folder_descriptor);
    std::swap(m_lock_descriptor, other.m_lock_descriptor);
    std::swap(m_descriptors, other.m_descriptors);
    return *this;
}

posix_file_system::~posix_file_system()
{
    close_all();
}

void posix_file_system::close_all()
{
    for (const auto& [name, descriptor] : m_descriptors)
    {
        ::close(descriptor);
    }
    m_descriptors.clear();
    for (const int descriptor : {m_folder_descriptor, m_lock_descriptor})
    {
        if (descriptor >= 0)
        {
            ::close(descriptor);
        }
    }
}

result<std::vector<std::string>> posix_file_system::list()
{
    std::vector<std::string> names;
    std::error_code code;
    std::filesystem::directory_iterator entry(m_folder, code);
    while (!code && entry != std::filesystem::directory_iterator())
    {
        if (entry->is_regular_file(code))
        {
            names.push_back(entry->path().filename().string());
        }
        entry.increment(code);
    }
    if (code)
    {
        return fail(error_kind::storage, m_folder.string(),
                    "cannot list: " + code.message());
    }
    std::sort(names.begin(), names.end());
    return names;
}

result<std::string> posix_file_system::read(const std::string& name)
{
    constexpr std::size_t read_size = 1024 * 1024;
    const result<int> file = descriptor(name, false);
    if (!file)
    {
        return tl::unexpected<error>(file.error());
    }
    std::string bytes;
    while (true)
    {
        const std::size_t old_size = bytes.size();
        bytes.resize(old_size + read_size);
        const ssize_t bytes_read =
            ::pread(*file, bytes.data() + old_size, read_size,
                    static_cast<off_t>(old_size));
        if (bytes_read < 0 && errno != EINTR)
        {
            return io_error(name, "read");
        }
        bytes.resize(old_size + static_cast<std::size_t>(
                                    std::max<ssize_t>(bytes_read, 0)));
        if (bytes_read == 0)
        {
            return bytes;
        }
    }
}

result<void> posix_file_system::append(const std::string& name,
                                       std::string_view bytes)
{
    const result<int> file = descriptor(name, true);
    if (!file)
    {
        return tl::unexpected<error>(file.error());
    }
    while (!bytes.empty())
    {
        const ssize_t bytes_written =
            ::write(*file, bytes.data(), bytes.size());
        if (bytes_written < 0 && errno == EINTR)
        {
            continue;
        }
        if (bytes_written < 0)
        {
            return io_error(name, "write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(bytes_written));
    }
    return {};
}

result<void> posix_file_system::truncate(const std::string& name,
                                         std::uint64_t size)
{
    const result<int> file = descriptor(name, false);
    if (!file)
    {
        return tl::unexpected<error>(file.error());
    }
    if (::ftruncate(*file, static_cast<off_t>(size)) != 0)
    {
        return io_error(name, "truncate");
    }
    return {};
}

result<void> posix_file_system::sync_file(const std::string& name)
{
    const result<int> file = descriptor(name, false);
    if (!file)
    {
        return tl::unexpected<error>(file.error());
    }
    if (::fsync(*file) != 0)
    {
        return io_error(name, "sync");
    }
    return {};
}

result<void> posix_file_system::sync_folder()
{
    if (::fsync(m_folder_descriptor) != 0)
    {
        return io_error(".", "sync");
    }
    return {};
}

result<void> posix_file_system::rename(const std::string& from,
                                       const std::string& to)
{
    close_file(from);
    close_file(to);
    if (::renameat(m_folder_descriptor, from.c_str(), m_folder_descriptor,
                   to.c_str()) != 0)
    {
        return io_error(from, "rename");
    }
    return {};
}

result<void> posix_file_system::remove(const std::string& name)
{
    close_file(name);
    if (::unlinkat(m_folder_descriptor, name.c_str(), 0) != 0)
    {
        return io_error(name, "remove");
    }
    return {};
}

result<int> posix_file_system::descriptor(const std::string& name, bool create)
{
    const auto known = m_descriptors.find(name);
    if (known != m_descriptors.end())
    {
        return known->second;
    }
    const int flags = O_RDWR | O_APPEND | O_CLOEXEC | (create ? O_CREAT : 0);
    const int opened =
        ::openat(m_folder_descriptor, name.c_str(), flags, file_mode);
    if (opened < 0)
    {
        return io_error(name, "open");
    }
    m_descriptors.emplace(name, opened);
    return opened;
}

void posix_file_system::close_file(const std::string& name)
{
    const auto known = m_descriptors.find(name);
    if (known != m_descriptors.end())
    {
        ::close(known->second);
        m_descriptors.erase(known);
    }
}

tl::unexpected<error> posix_file_system::io_error(const std::string& name,
                                                  const char* action) const
{
    return fail(error_kind::storage, (m_folder / name).string(),
                fmt::format("cannot {}: {}", action, errno_message()));
}

} // namespace crowlink::replication
