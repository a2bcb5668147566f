#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <optional>

namespace crowlink
{

// An upstream's notice to the agent beside it that it ends.
struct upstream_withdrawal
{
    upstream_id id;
    // The incarnation that ends; absent for the present one.
    std::optional<incarnation> started;

    friend auto operator<=>(const upstream_withdrawal&,
                            const upstream_withdrawal&) = default;
};

} // namespace crowlink
