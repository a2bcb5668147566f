#pragma once

#include "crowlink/forwarding/removed_service.hpp"
#include "crowlink/model/service_view.hpp"

#include <compare>
#include <vector>

namespace crowlink
{

// An update of a node's services: new views, and services that are no longer
// declared.
struct views_changed
{
    std::vector<service_view> views;
    std::vector<removed_service> removed;

    friend auto operator<=>(const views_changed&,
                            const views_changed&) = default;
};

} // namespace crowlink
