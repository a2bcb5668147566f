#include "crowlink/agent/host_fairness.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::internal
{

void host_fairness::arrange(std::vector<const held_opening*>& waiting) const
{
    std::map<endpoint, std::uint64_t> next = m_next;
    std::vector<std::pair<std::uint64_t, const held_opening*>> tagged;
    tagged.reserve(waiting.size());
    for (const held_opening* each : waiting)
    {
        std::uint64_t& tag = next[each->header.return_to];
        tag = std::max(tag, m_latest);
        tagged.emplace_back(tag, each);
        ++tag;
    }
    std::stable_sort(tagged.begin(), tagged.end(),
                     [](const auto& first, const auto& second)
                     { return first.first < second.first; });
    std::transform(tagged.begin(), tagged.end(), waiting.begin(),
                   [](const auto& each) { return each.second; });
}

void host_fairness::started(const endpoint& host)
{
    std::uint64_t& tag = m_next[host];
    m_latest = std::max(tag, m_latest);
    tag = m_latest + 1;
    std::erase_if(m_next,
                  [this](const auto& each) { return each.second <= m_latest; });
}

} // namespace crowlink::internal
