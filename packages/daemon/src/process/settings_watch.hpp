#pragma once

#include <cstdint>
#include <string>

namespace crowlink::internal
{

// Notices that a file was written or replaced since it was last asked. Looks
// at the file's identity, size and time of change, not at its content.
class settings_watch
{
public:
    explicit settings_watch(std::string file);

    // True also where the file is there again after it was missing.
    bool changed();

private:
    struct mark
    {
        std::uint64_t inode = 0;
        std::int64_t size = -1;
        std::int64_t seconds = 0;
        std::int64_t nanoseconds = 0;

        friend bool operator==(const mark&, const mark&) = default;
    };

    mark read() const;

    std::string m_file;
    mark m_seen;
};

} // namespace crowlink::internal
