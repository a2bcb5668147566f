#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace crowlink
{

// One kind of request of a service. The weight is the share of a slot's work
// that one request takes relative to the others of the service.
struct request_kind
{
    std::string name;
    std::uint32_t weight = 1;
    bool idempotent = false;

    friend auto operator<=>(const request_kind&, const request_kind&) = default;
};

} // namespace crowlink
