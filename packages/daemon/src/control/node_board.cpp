#include "control/node_board.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

constexpr std::size_t most_nodes = 8192;
constexpr std::chrono::minutes longest_silence(10);

} // namespace

void node_board::heard(time_point now, const host_id& node,
                       config_version version)
{
    if (m_nodes.size() >= most_nodes && m_nodes.count(node) == 0)
    {
        const auto oldest = std::min_element(
            m_nodes.begin(), m_nodes.end(),
            [](const auto& first, const auto& second)
            { return first.second.heard < second.second.heard; });
        m_nodes.erase(oldest);
    }
    entry& known = m_nodes[node];
    known.version = std::max(known.version, version);
    known.heard = now;
}

void node_board::purge(time_point now)
{
    std::erase_if(m_nodes, [now](const auto& each)
                  { return now - each.second.heard > longest_silence; });
}

} // namespace crowlink::internal
