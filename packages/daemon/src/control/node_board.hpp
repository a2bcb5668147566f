#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/time.hpp"

#include <compare>
#include <cstddef>
#include <map>

namespace crowlink::internal
{

// What a control host last heard from each node that it serves. Bounded: the
// node that was silent for longest makes room.
class node_board
{
public:
    struct entry
    {
        config_version version;
        time_point heard{};

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    void heard(time_point now, const host_id& node, config_version version);
    // Forgets nodes that were silent for long.
    void purge(time_point now);

    const std::map<host_id, entry>& nodes() const { return m_nodes; }

private:
    std::map<host_id, entry> m_nodes;
};

} // namespace crowlink::internal
