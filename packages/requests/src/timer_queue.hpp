#pragma once

#include "crowlink/base/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace crowlink::internal
{

// Timers identified by number; each number has at most one due time.
class timer_queue
{
public:
    void set(std::uint64_t number, time_point due)
    {
        clear(number);
        m_due.emplace(number, due);
        m_order.insert({due, number});
    }

    void clear(std::uint64_t number)
    {
        const auto known = m_due.find(number);
        if (known != m_due.end())
        {
            m_order.erase({known->second, number});
            m_due.erase(known);
        }
    }

    // Returns the earliest due time, or time_point::max() if there is none.
    time_point next_due() const
    {
        return m_order.empty() ? time_point::max() : m_order.begin()->due;
    }

    // Removes the earliest timer and returns its number, if it is due.
    std::optional<std::uint64_t> pop_due(time_point now)
    {
        if (m_order.empty() || m_order.begin()->due > now)
        {
            return std::nullopt;
        }
        const std::uint64_t number = m_order.begin()->number;
        clear(number);
        return number;
    }

private:
    struct entry
    {
        time_point due;
        std::uint64_t number = 0;

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    std::set<entry> m_order;
    std::unordered_map<std::uint64_t, time_point> m_due;
};

} // namespace crowlink::internal
