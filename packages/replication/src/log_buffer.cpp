#include "log_buffer.hpp"

#include <utility>

namespace crowlink::replication::internal
{

std::size_t log_buffer::size_of(const log_entry& entry)
{
    return entry_overhead + entry.payload.size();
}

term_number log_buffer::last_term() const
{
    return m_entries.empty() ? m_base_term : m_entries.back().term;
}

std::optional<term_number> log_buffer::term_at(log_index index) const
{
    if (index == m_base_index)
    {
        return m_base_term;
    }
    if (index < m_base_index || index > last_index())
    {
        return std::nullopt;
    }
    return at(index).term;
}

const log_entry& log_buffer::at(log_index index) const
{
    return m_entries[index - m_base_index - 1];
}

std::vector<log_entry> log_buffer::read(log_index first,
                                        std::size_t max_bytes) const
{
    std::vector<log_entry> entries;
    std::size_t bytes = 0;
    for (log_index index = first; index <= last_index(); ++index)
    {
        bytes += size_of(at(index));
        if (!entries.empty() && bytes > max_bytes)
        {
            break;
        }
        entries.push_back(at(index));
    }
    return entries;
}

log_index log_buffer::first_of_term(log_index index) const
{
    const std::optional<term_number> term = term_at(index);
    while (index > m_base_index + 1 && term_at(index - 1) == term)
    {
        --index;
    }
    return index;
}

void log_buffer::append(log_entry entry)
{
    m_bytes += size_of(entry);
    m_entries.push_back(std::move(entry));
}

void log_buffer::truncate_from(log_index index)
{
    while (last_index() >= index && !m_entries.empty())
    {
        m_bytes -= size_of(m_entries.back());
        m_entries.pop_back();
    }
}

void log_buffer::compact_to(log_index index)
{
    while (m_base_index < index && !m_entries.empty())
    {
        m_bytes -= size_of(m_entries.front());
        m_base_term = m_entries.front().term;
        m_entries.pop_front();
        ++m_base_index;
    }
}

void log_buffer::reset(log_index index, term_number term)
{
    m_entries.clear();
    m_bytes = 0;
    m_base_index = index;
    m_base_term = term;
}

} // namespace crowlink::replication::internal
