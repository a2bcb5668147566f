#include "crowlink/agent/forward_opening.hpp"

namespace crowlink
{

bool forward_opening(packet_header& header, const endpoint& from)
{
    if (header.role != packet_role::opens)
    {
        return false;
    }
    std::size_t next = header.position + 1U;
    while (next < header.current.size() && header.current[next].agent == from)
    {
        ++next;
    }
    if (next >= header.current.size())
    {
        return false;
    }
    header.position = static_cast<std::uint8_t>(next);
    header.pass = packet_pass::admit;
    header.best = packet_header::no_position;
    ++header.hops;
    return true;
}

} // namespace crowlink
