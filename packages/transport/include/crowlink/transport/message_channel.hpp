#pragma once

#include <cstdint>

namespace crowlink
{

// What a message between processes belongs to; one byte on the wire.
enum class message_channel : std::uint8_t
{
    // The replicated log: between control hosts.
    replication = 'r',
    // Records, leases and distribution: between control hosts, and between
    // them and nodes.
    membership = 'm',
};

} // namespace crowlink
