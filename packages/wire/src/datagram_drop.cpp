#include "crowlink/wire/datagram_drop.hpp"

namespace crowlink
{

std::string_view to_string(datagram_drop reason)
{
    switch (reason)
    {
    case datagram_drop::truncated:
        return "truncated";
    case datagram_drop::unknown_version:
        return "unknown_version";
    case datagram_drop::unknown_key:
        return "unknown_key";
    case datagram_drop::not_authentic:
        return "not_authentic";
    case datagram_drop::malformed:
        return "malformed";
    case datagram_drop::out_of_range:
        return "out_of_range";
    }
    return "unknown";
}

} // namespace crowlink
