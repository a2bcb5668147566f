#pragma once

#include <compare>
#include <cstddef>

namespace crowlink::replication
{

struct storage_settings
{
    // A new segment is started when the last one has reached this size.
    std::size_t segment_bytes = 4 * 1024 * 1024;
    // Only tests disable this, to show that they detect missing syncs.
    bool sync = true;

    friend auto operator<=>(const storage_settings&,
                            const storage_settings&) = default;
};

} // namespace crowlink::replication
