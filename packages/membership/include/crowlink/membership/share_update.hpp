#pragma once

#include "crowlink/model/address_share.hpp"

#include <compare>

namespace crowlink::internal
{

// What a service has of one address from now on.
struct share_update
{
    address_share share;
    bool removed = false;

    friend auto operator<=>(const share_update&, const share_update&) = default;
};

} // namespace crowlink::internal
