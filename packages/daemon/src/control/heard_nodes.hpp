#pragma once

#include "crowlink/base/ids.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace crowlink::internal
{

// The connection over which each node spoke last. A node that was not heard for
// a whole period is forgotten, so that the memory follows the nodes that use
// this control host, not all that ever did. A node that is heard is never
// dropped for another one.
class heard_nodes
{
public:
    void note(const host_id& node, std::string connection)
    {
        m_before.erase(node);
        m_recent[node] = std::move(connection);
    }

    // Null if the node is not known.
    const std::string* find(const host_id& node) const
    {
        for (const connection_map* each : {&m_recent, &m_before})
        {
            const auto found = each->find(node);
            if (found != each->end())
            {
                return &found->second;
            }
        }
        return nullptr;
    }

    // Forgets the nodes that were not heard since the call before.
    void begin_period() { m_before = std::exchange(m_recent, {}); }

    std::size_t size() const { return m_recent.size() + m_before.size(); }

private:
    using connection_map = std::map<host_id, std::string>;

    connection_map m_recent;
    // Heard in the period before, and not since.
    connection_map m_before;
};

} // namespace crowlink::internal
