#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <vector>

namespace crowlink
{

// The other services where open flows of an address may still be, sorted.
struct former_address
{
    endpoint address;
    std::vector<service_id> services;

    friend auto operator<=>(const former_address&,
                            const former_address&) = default;
};

} // namespace crowlink
