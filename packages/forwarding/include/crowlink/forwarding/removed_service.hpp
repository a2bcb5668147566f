#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>

namespace crowlink
{

// A service that the document no longer declares as of this version.
struct removed_service
{
    service_id service;
    config_version version;

    friend auto operator<=>(const removed_service&,
                            const removed_service&) = default;
};

} // namespace crowlink
