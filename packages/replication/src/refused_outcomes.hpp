#pragma once

#include "crowlink/replication/change_outcome.hpp"

#include <string>
#include <utility>

// Outcomes of changes that are not known to be committed.
namespace crowlink::replication::internal
{

inline change_outcome unavailable(std::string message)
{
    return change_outcome{change_result::unavailable, config_version(),
                          std::move(message)};
}

inline change_outcome unknown(std::string message)
{
    return change_outcome{change_result::unknown, config_version(),
                          std::move(message)};
}

} // namespace crowlink::replication::internal
