#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace crowlink
{

// Why bytes from another host were not taken as a datagram.
enum class datagram_drop : std::uint8_t
{
    // Shorter than a prefix and a hash, or than its own prefix says.
    truncated,
    // Another version of the format.
    unknown_version,
    // Authenticated with a key that is not in the ring.
    unknown_key,
    // The hash does not match: forged or damaged.
    not_authentic,
    // Not a well-formed message of the schema.
    malformed,
    // Well-formed, with a value that no host sends.
    out_of_range,
};

constexpr std::size_t datagram_drop_count = 6;

// The name used in metrics and logs.
std::string_view to_string(datagram_drop reason);

} // namespace crowlink
