#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace crowlink
{

// One change of the past.
struct history_entry
{
    config_version version;
    operation_id operation;
    std::string author;
    // Seconds of Unix time at the host that took the change; for people only.
    std::int64_t accepted_at_s = 0;

    friend auto operator<=>(const history_entry&,
                            const history_entry&) = default;
};

} // namespace crowlink
