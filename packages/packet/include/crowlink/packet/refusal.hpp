#pragma once

#include "crowlink/base/flow_key.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// How a caller is told that its flow was refused or ended. The numbers are
// those of a TCP RST segment; UDP has none.
struct refusal
{
    flow_key flow;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;

    friend auto operator<=>(const refusal&, const refusal&) = default;
};

} // namespace crowlink
