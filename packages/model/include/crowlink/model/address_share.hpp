#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/model/route_terms.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace crowlink
{

// An address that a service shares with others, its part of the new flows there
// and what the callers of the address need. Derived from the document's routes.
struct address_share
{
    endpoint address;
    std::uint32_t weight = 1;
    // Absent where a control host of an earlier release does not send them.
    std::optional<route_terms> terms{};
    // Other services where open flows of the address may still be, since it led
    // there before or with another weight; sorted.
    std::vector<service_id> former{};

    friend auto operator<=>(const address_share&,
                            const address_share&) = default;
};

} // namespace crowlink
