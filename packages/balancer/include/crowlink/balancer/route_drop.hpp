#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace crowlink
{

// The reason why a caller's packet was not forwarded.
enum class route_drop : std::uint8_t
{
    // No service has the address.
    no_service,
    // No upstream of the service is ready in the current or previous table.
    no_candidate,
    // The encoded packet does not fit into the buffer.
    too_large,
};

constexpr std::size_t route_drop_count = 3;

// The name used in metrics and logs.
std::string_view to_string(route_drop reason);

} // namespace crowlink
