#pragma once

#include <compare>
#include <cstdint>

namespace crowlink
{

// Identifies one request of one caller. The caller part is drawn at random by
// each start of a caller; numbers rise from one.
struct request_id
{
    std::uint64_t caller = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const request_id&, const request_id&) = default;
};

} // namespace crowlink
