#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/ids.hpp"
#include "crowlink/settings/daemon_settings.hpp"

#include <functional>
#include <string>

namespace crowlink::internal
{

class control_thread;

// An operator's order that a data centre gets nothing new, or may again.
struct evacuation_order
{
    place_id where;
    bool evacuates = true;
    std::string operator_name;
    // Whether whoever gave the order still waits for its answer.
    std::function<bool()> is_awaited;
};

// Puts an order in force; done once it is durable, or was so already.
// `not_found` names an unknown data centre and those that are known. After
// `unavailable` it may have been taken; the operator sends it again.
result<void> carry_out_order(control_thread& control,
                             const daemon_settings& settings,
                             const evacuation_order& order);

} // namespace crowlink::internal
