#pragma once

#include <compare>
#include <cstddef>

namespace crowlink::replication
{

struct storage_settings
{
    // A new segment is begun when the last one has grown beyond this.
    std::size_t segment_bytes = 4 * 1024 * 1024;
    // Only tests switch this off, to show that they notice.
    bool sync = true;

    friend auto operator<=>(const storage_settings&,
                            const storage_settings&) = default;
};

} // namespace crowlink::replication
