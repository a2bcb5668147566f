#pragma once

#include <compare>
#include <string>

namespace crowlink
{

// Whether this host can serve, and if not, why.
struct readiness
{
    bool ready = false;
    std::string reason;

    friend auto operator<=>(const readiness&, const readiness&) = default;
};

} // namespace crowlink
