#include "crowlink/packet/packet_drop.hpp"

namespace crowlink
{

std::string_view to_string(packet_drop reason)
{
    switch (reason)
    {
    case packet_drop::truncated:
        return "truncated";
    case packet_drop::malformed:
        return "malformed";
    case packet_drop::fragment:
        return "fragment";
    case packet_drop::unsupported:
        return "unsupported";
    case packet_drop::foreign:
        return "foreign";
    case packet_drop::too_large:
        return "too_large";
    case packet_drop::not_expressible:
        return "not_expressible";
    }
    return "unknown";
}

} // namespace crowlink
