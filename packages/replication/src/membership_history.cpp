#include "membership_history.hpp"

#include <utility>

namespace crowlink::replication::internal
{

const membership& membership_history::at(log_index index) const
{
    std::size_t found = 0;
    for (std::size_t i = 0; i < m_records.size(); ++i)
    {
        if (m_records[i].index <= index)
        {
            found = i;
        }
    }
    return m_records[found].members;
}

void membership_history::append(log_index index, membership members)
{
    m_records.push_back(record{index, std::move(members)});
}

void membership_history::truncate_from(log_index index)
{
    while (m_records.size() > 1 && m_records.back().index >= index)
    {
        m_records.pop_back();
    }
}

void membership_history::compact_to(log_index index)
{
    while (m_records.size() > 1 && m_records[1].index <= index)
    {
        m_records.erase(m_records.begin());
    }
}

void membership_history::reset(log_index index, membership members)
{
    m_records.clear();
    append(index, std::move(members));
}

} // namespace crowlink::replication::internal
