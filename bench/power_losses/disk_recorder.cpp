// Records every change of the files that are opened relative to a folder, so
// that a power loss can be played after the process was killed. The linker
// routes the calls of our own code through the wrappers below.
//
// CROWLINK_DISK_NOTES names two files to append to: NAME.notes has a line
// before each call and a line "done" after it, NAME.bytes what was written.
// CROWLINK_SYNC_DELAYS names a file, which may change at any time, with the
// shortest and the longest time in milliseconds that each sync takes longer.

#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

// The names that the linker's option --wrap gives to the library's function and
// to the one that replaces it.
#define CROWLINK_REAL(call) __asm__("__real_" #call)
#define CROWLINK_WRAP(call) __asm__("__wrap_" #call)

extern "C"
{
    int real_openat(int folder, const char* name, int flags, ...)
        CROWLINK_REAL(openat);
    int real_close(int file) CROWLINK_REAL(close);
    ssize_t real_write(int file, const void* bytes, std::size_t size)
        CROWLINK_REAL(write);
    int real_ftruncate(int file, off_t size) CROWLINK_REAL(ftruncate);
    int real_fsync(int file) CROWLINK_REAL(fsync);
    int real_renameat(int from_folder, const char* from, int to_folder,
                      const char* to) CROWLINK_REAL(renameat);
    int real_unlinkat(int folder, const char* name, int flags)
        CROWLINK_REAL(unlinkat);

    int wrap_openat(int folder, const char* name, int flags, ...)
        CROWLINK_WRAP(openat);
    int wrap_close(int file) CROWLINK_WRAP(close);
    ssize_t wrap_write(int file, const void* bytes, std::size_t size)
        CROWLINK_WRAP(write);
    int wrap_ftruncate(int file, off_t size) CROWLINK_WRAP(ftruncate);
    int wrap_fsync(int file) CROWLINK_WRAP(fsync);
    int wrap_renameat(int from_folder, const char* from, int to_folder,
                      const char* to) CROWLINK_WRAP(renameat);
    int wrap_unlinkat(int folder, const char* name, int flags)
        CROWLINK_WRAP(unlinkat);
}

namespace
{

constexpr mode_t notes_mode = 0600;

class disk_recorder
{
public:
    disk_recorder()
    {
        const char* const prefix = std::getenv("CROWLINK_DISK_NOTES");
        const char* const delays = std::getenv("CROWLINK_SYNC_DELAYS");
        m_delays_file = delays == nullptr ? "" : delays;
        if (prefix != nullptr)
        {
            m_notes = open_notes(std::string(prefix) + ".notes");
            m_bytes = open_notes(std::string(prefix) + ".bytes");
        }
    }

    void opened(int file, const char* name)
    {
        const std::lock_guard lock(m_mutex);
        m_names[file] = name;
    }

    void closed(int file)
    {
        const std::lock_guard lock(m_mutex);
        m_names.erase(file);
    }

    // The name of an open file of the folder; empty for any other one.
    std::string name_of(int file)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_names.find(file);
        return found == m_names.end() ? std::string() : found->second;
    }

    void note(const std::string& line) const
    {
        append(m_notes, (line + "\n").data(), line.size() + 1);
    }

    void keep_bytes(const void* bytes, std::size_t size) const
    {
        append(m_bytes, bytes, size);
    }

    void delay_sync()
    {
        long shortest = 0;
        long longest = 0;
        std::ifstream(m_delays_file) >> shortest >> longest;
        std::uniform_int_distribution<long> delays(shortest, longest);
        std::unique_lock lock(m_mutex);
        const std::chrono::milliseconds delay(delays(m_random));
        lock.unlock();
        std::this_thread::sleep_for(delay);
    }

private:
    static int open_notes(const std::string& name)
    {
        return real_openat(AT_FDCWD, name.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                           notes_mode);
    }

    // Notes that are incomplete would make the play itself wrong.
    static void append(int file, const void* bytes, std::size_t size)
    {
        if (file >= 0 &&
            real_write(file, bytes, size) != static_cast<ssize_t>(size))
        {
            std::abort();
        }
    }

    int m_notes = -1;
    int m_bytes = -1;
    std::mutex m_mutex;
    std::mt19937 m_random{std::random_device()()};
    std::string m_delays_file;
    std::map<int, std::string> m_names;
};

disk_recorder& recorder()
{
    static disk_recorder instance;
    return instance;
}

template <class Call>
auto recorded(const std::string& line, const Call& call)
{
    recorder().note(line);
    const auto result = call();
    recorder().note(result < 0 ? "failed" : fmt::format("done {}", result));
    return result;
}

bool is_folder(int file)
{
    struct stat found
    {
    };
    return ::fstat(file, &found) == 0 && S_ISDIR(found.st_mode);
}

} // namespace

extern "C"
{
    int wrap_openat(int folder, const char* name, int flags, ...)
    {
        std::va_list more;
        va_start(more, flags);
        const auto mode = va_arg(more, mode_t);
        va_end(more);
        const auto open = [&]
        {
            return real_openat(folder, name, flags, mode);
        };
        const bool creates =
            (flags & O_CREAT) != 0 && ::faccessat(folder, name, F_OK, 0) != 0;
        const int file =
            creates ? recorded(fmt::format("create {}", name), open) : open();
        if (file >= 0)
        {
            recorder().opened(file, name);
        }
        return file;
    }

    int wrap_close(int file)
    {
        recorder().closed(file);
        return real_close(file);
    }

    ssize_t wrap_write(int file, const void* bytes, std::size_t size)
    {
        const std::string name = recorder().name_of(file);
        if (name.empty())
        {
            return real_write(file, bytes, size);
        }
        recorder().keep_bytes(bytes, size);
        return recorded(fmt::format("write {} {}", name, size),
                        [&] { return real_write(file, bytes, size); });
    }

    int wrap_ftruncate(int file, off_t size)
    {
        return recorded(
            fmt::format("truncate {} {}", recorder().name_of(file), size),
            [&] { return real_ftruncate(file, size); });
    }

    int wrap_fsync(int file)
    {
        const std::string name = recorder().name_of(file);
        if (name.empty() && !is_folder(file))
        {
            return real_fsync(file);
        }
        const std::string line =
            name.empty() ? "sync_folder" : fmt::format("sync {}", name);
        return recorded(line,
                        [&]
                        {
                            recorder().delay_sync();
                            return real_fsync(file);
                        });
    }

    int wrap_renameat(int from_folder, const char* from, int to_folder,
                      const char* to)
    {
        return recorded(
            fmt::format("rename {} {}", from, to),
            [&] { return real_renameat(from_folder, from, to_folder, to); });
    }

    int wrap_unlinkat(int folder, const char* name, int flags)
    {
        return recorded(fmt::format("remove {}", name),
                        [&] { return real_unlinkat(folder, name, flags); });
    }
}
