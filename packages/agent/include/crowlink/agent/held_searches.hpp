#pragma once

#include "crowlink/agent/agent_events.hpp"
#include "crowlink/forwarding/packet_header.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crowlink::internal
{

// A packet whose search met no owner while members may still be unknown.
struct held_search
{
    packet_header header;
    std::vector<std::uint8_t> payload;
};

// Such packets wait here until the search can prove something. Otherwise it
// would take the caller's next copy, and callers double the time between two.
class held_searches
{
public:
    // At 1.3 KB each a third of a megabyte. Beyond that a caller's next copy
    // is searched for.
    static constexpr std::size_t most_held = 256;

    // The newest packet of a flow takes the place of the one before.
    void hold(const packet_header& header, payload_view payload);
    // One of them, in no order.
    std::optional<held_search> take();
    std::size_t size() const { return m_held.size(); }

private:
    std::unordered_map<flow_key, held_search> m_held;
};

} // namespace crowlink::internal
