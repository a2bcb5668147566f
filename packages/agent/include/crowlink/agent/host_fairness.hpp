#pragma once

#include "crowlink/agent/held_opening.hpp"
#include "crowlink/base/endpoint.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace crowlink::internal
{

// Start-time fair queueing over entry hosts, which stand for the data centres
// of callers: hosts that wait get the same number of starts, and first in first
// out holds within a host.
class host_fairness
{
public:
    // Sorts packets of one level, which are in the order of arrival.
    void arrange(std::vector<const held_opening*>& waiting) const;
    // Records a start.
    void started(const endpoint& host);

private:
    // The start tag of the latest start, and that of each host's next one.
    // Hosts whose tag is not above the latest are not kept.
    std::uint64_t m_latest = 0;
    std::map<endpoint, std::uint64_t> m_next;
};

} // namespace crowlink::internal
