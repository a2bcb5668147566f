#include "caller_paths.hpp"

#include <algorithm>

namespace crowlink::internal
{

caller_paths::caller_paths(path_index count)
{
    for (; m_next_index < std::max<path_index>(1, count); ++m_next_index)
    {
        m_paths.emplace(m_next_index, caller_path());
        m_active.push_back(m_next_index);
    }
}

caller_path* caller_paths::find(path_index path)
{
    const auto found = m_paths.find(path);
    return found == m_paths.end() ? nullptr : &found->second;
}

bool caller_paths::in_use(path_index path) const
{
    return position_of(path) < m_active.size();
}

path_index caller_paths::at_turn(std::size_t step) const
{
    return m_active[(m_turn + step) % m_active.size()];
}

void caller_paths::advance_turn(path_index path)
{
    m_turn = position_of(path) + 1;
}

path_index caller_paths::after(path_index path) const
{
    return m_active[(position_of(path) + 1) % m_active.size()];
}

path_index caller_paths::replace(path_index path)
{
    const auto old = m_paths.find(path);
    const path_index fresh = m_next_index++;
    m_paths.emplace(fresh, caller_path(old->second.openings_sent()));
    m_active[position_of(path)] = fresh;
    if (old->second.settled())
    {
        m_paths.erase(old);
    }
    return fresh;
}

bool caller_paths::settle(path_index path, std::uint64_t sequence)
{
    const auto found = m_paths.find(path);
    if (found == m_paths.end())
    {
        return false;
    }
    found->second.settle(sequence);
    if (in_use(path) || !found->second.settled())
    {
        return false;
    }
    m_paths.erase(found);
    return true;
}

time_point caller_paths::earliest_retry() const
{
    time_point earliest = time_point::max();
    for (const path_index path : m_active)
    {
        earliest = std::min(earliest, at(path).refused_until());
    }
    return earliest;
}

std::size_t caller_paths::position_of(path_index path) const
{
    const auto found = std::find(m_active.begin(), m_active.end(), path);
    return static_cast<std::size_t>(found - m_active.begin());
}

} // namespace crowlink::internal
