#pragma once

#include "crowlink/base/ids.hpp"

#include <set>
#include <string>

namespace crowlink::internal
{

// The names of data centres for a log line, with commas between them.
inline std::string names_of(const std::set<place_id>& places)
{
    std::string names;
    for (const place_id& each : places)
    {
        names += names.empty() ? "" : ",";
        names += each.value();
    }
    return names;
}

} // namespace crowlink::internal
