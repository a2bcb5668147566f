#include "crowlink/balancer/route_drop.hpp"

namespace crowlink
{

std::string_view to_string(route_drop reason)
{
    switch (reason)
    {
    case route_drop::no_service:
        return "no_service";
    case route_drop::no_candidate:
        return "no_candidate";
    case route_drop::too_large:
        return "too_large";
    }
    return "unknown";
}

} // namespace crowlink
