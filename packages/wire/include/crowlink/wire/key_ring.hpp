#pragma once

#include "crowlink/wire/datagram_key.hpp"

#include <compare>
#include <optional>

namespace crowlink
{

// The key that a host signs with, and another that it accepts as well: the
// next or the last one while the hosts change keys one after the other.
struct key_ring
{
    datagram_key signing;
    std::optional<datagram_key> accepted;

    friend auto operator<=>(const key_ring&, const key_ring&) = default;
};

} // namespace crowlink
