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

std::string reason()
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
                    "cannot open the data folder: " + reason());
    }
    const int lock = ::openat(descriptor, lock_name,
                              O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (lock < 0 || ::flock(lock, LOCK_EX | LOCK_NB) != 0)
    {
        const std::string why =
            errno == EWOULDBLOCK ? "another process holds it" : reason();
        if (lock >= 0)
        {
            ::close(lock);
        }
        ::close(descriptor);
        return fail(error_kind::storage, folder.string(),
                    "cannot lock the data folder: " + why);
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
    , m_open(std::exchange(other.m_open, {}))
{
}

posix_file_system&
posix_file_system::operator=(posix_file_system&& other) noexcept
{
    std::swap(m_folder, other.m_folder);
    std::swap(m_folder_descriptor, other.m_folder_descriptor);
    std::swap(m_lock_descriptor, other.m_lock_descriptor);
    std::swap(m_open, other.m_open);
    return *this;
}

posix_file_system::~posix_file_system()
{
    close_all();
}

void posix_file_system::close_all()
{
    for (const auto& [name, descriptor] : m_open)
    {
        ::close(descriptor);
    }
    m_open.clear();
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
        const std::size_t held = bytes.size();
        bytes.resize(held + read_size);
        const ssize_t got = ::pread(*file, bytes.data() + held, read_size,
                                    static_cast<off_t>(held));
        if (got < 0 && errno != EINTR)
        {
            return failure(name, "read");
        }
        bytes.resize(held +
                     static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        if (got == 0)
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
        const ssize_t put = ::write(*file, bytes.data(), bytes.size());
        if (put < 0 && errno == EINTR)
        {
            continue;
        }
        if (put < 0)
        {
            return failure(name, "write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(put));
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
        return failure(name, "truncate");
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
        return failure(name, "sync");
    }
    return {};
}

result<void> posix_file_system::sync_folder()
{
    if (::fsync(m_folder_descriptor) != 0)
    {
        return failure(".", "sync");
    }
    return {};
}

result<void> posix_file_system::rename(const std::string& from,
                                       const std::string& to)
{
    forget(from);
    forget(to);
    if (::renameat(m_folder_descriptor, from.c_str(), m_folder_descriptor,
                   to.c_str()) != 0)
    {
        return failure(from, "rename");
    }
    return {};
}

result<void> posix_file_system::remove(const std::string& name)
{
    forget(name);
    if (::unlinkat(m_folder_descriptor, name.c_str(), 0) != 0)
    {
        return failure(name, "remove");
    }
    return {};
}

result<int> posix_file_system::descriptor(const std::string& name, bool create)
{
    const auto known = m_open.find(name);
    if (known != m_open.end())
    {
        return known->second;
    }
    const int flags = O_RDWR | O_APPEND | O_CLOEXEC | (create ? O_CREAT : 0);
    const int opened =
        ::openat(m_folder_descriptor, name.c_str(), flags, file_mode);
    if (opened < 0)
    {
        return failure(name, "open");
    }
    m_open.emplace(name, opened);
    return opened;
}

void posix_file_system::forget(const std::string& name)
{
    const auto known = m_open.find(name);
    if (known != m_open.end())
    {
        ::close(known->second);
        m_open.erase(known);
    }
}

tl::unexpected<error> posix_file_system::failure(const std::string& name,
                                                 const char* action) const
{
    return fail(error_kind::storage, (m_folder / name).string(),
                fmt::format("cannot {}: {}", action, reason()));
}

} // namespace crowlink::replication
