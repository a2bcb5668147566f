#pragma once

#include "crowlink/base/endpoint.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// An address that a service shares with others, and its part of the new flows
// there. Derived from the document's routes.
struct address_share
{
    endpoint address;
    std::uint32_t weight = 1;

    friend auto operator<=>(const address_share&,
                            const address_share&) = default;
};

} // namespace crowlink
