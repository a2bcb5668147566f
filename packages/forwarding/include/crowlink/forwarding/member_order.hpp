#pragma once

#include "crowlink/forwarding/candidate_chain.hpp"

#include <array>
#include <cstdint>

namespace crowlink
{

// A flow's candidates as indices into a forwarding table's members: the form in
// which a cache stores a chain. It is valid only with the table's digest.
struct member_order
{
    std::array<std::uint16_t, candidate_chain::capacity> members{};
    std::uint8_t size = 0;

    friend bool operator==(const member_order&, const member_order&) = default;
};

} // namespace crowlink
