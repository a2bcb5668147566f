#include "process/settings_watch.hpp"

#include <sys/stat.h>
#include <utility>

namespace crowlink::internal
{

settings_watch::settings_watch(std::string file)
    : m_file(std::move(file)), m_seen(read())
{
}

bool settings_watch::changed()
{
    const mark now = read();
    const bool is_missing = now == mark();
    if (is_missing || now == m_seen)
    {
        return false;
    }
    m_seen = now;
    return true;
}

settings_watch::mark settings_watch::read() const
{
    struct stat found = {};
    if (::stat(m_file.c_str(), &found) != 0)
    {
        return {};
    }
    return mark{found.st_ino, found.st_size, found.st_mtim.tv_sec,
                found.st_mtim.tv_nsec};
}

} // namespace crowlink::internal
