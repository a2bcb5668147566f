#pragma once

#include "crowlink/membership/record_key.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace crowlink::internal
{

// One change: the item, and the number of its latest change when it was logged.
// An empty id denotes a service's declaration.
struct logged_change
{
    record_key key;
    std::uint64_t number = 0;
};

// A bounded log of the latest changes. Each reader holds a position, so that
// logging a change costs the same however many nodes lag. Readers skip an entry
// whose item changed again later, which merges several changes of one item into
// one.
template <class Change>
class change_log
{
public:
    explicit change_log(std::size_t capacity) : m_capacity(capacity) {}

    // Returns the entry that was dropped, if any.
    std::optional<Change> add(Change change)
    {
        m_entries.push_back(std::move(change));
        if (m_entries.size() <= m_capacity)
        {
            return std::nullopt;
        }
        std::optional<Change> dropped(std::move(m_entries.front()));
        m_entries.pop_front();
        ++m_first;
        return dropped;
    }

    // The position of the oldest entry.
    std::uint64_t begin() const { return m_first; }

    // The position after the newest entry.
    std::uint64_t end() const { return m_first + m_entries.size(); }

    // Whether the entry at a position has been dropped.
    bool lost(std::uint64_t position) const { return position < m_first; }

    const Change& at(std::uint64_t position) const
    {
        return m_entries[position - m_first];
    }

private:
    std::size_t m_capacity;
    std::uint64_t m_first = 0;
    std::deque<Change> m_entries;
};

} // namespace crowlink::internal
