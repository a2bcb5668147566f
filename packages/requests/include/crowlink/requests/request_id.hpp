#pragma once

#include <compare>
#include <cstdint>

namespace crowlink
{

// Identifies a request of a caller. The caller id is chosen at random at each
// start of a caller; request numbers increase from one.
struct request_id
{
    std::uint64_t caller = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const request_id&, const request_id&) = default;
};

} // namespace crowlink
