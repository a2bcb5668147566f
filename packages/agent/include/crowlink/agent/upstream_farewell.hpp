#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <optional>

namespace crowlink
{

// An upstream's last word to the agent beside it.
struct upstream_farewell
{
    upstream_id id;
    // Which life of that name ends; absent for the present one.
    std::optional<incarnation> started;

    friend auto operator<=>(const upstream_farewell&,
                            const upstream_farewell&) = default;
};

} // namespace crowlink
