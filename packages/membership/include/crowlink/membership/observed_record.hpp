#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <cstdint>

namespace crowlink::internal
{

// A record as held by an observer.
struct observed_record
{
    upstream_record record;
    // The observer that holds its lease.
    host_id home;
    // The hash of version, content and home; zero while gone.
    std::uint64_t hash = 0;
    // Its bucket in digests.
    std::uint8_t bucket = 0;
    // Set at the home only.
    time_point lease_until{};
    // When its silence began; meaningful while suspect.
    time_point suspect_since{};
    time_point gone_at{};
    bool suspect = false;
};

} // namespace crowlink::internal
