#pragma once

#include "crowlink/replication/change_outcome.hpp"

#include <string>
#include <utility>

// The answers to changes that were not seen to be committed.
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
