#pragma once

#include <cstdint>
#include <utility>

namespace crowlink::internal
{

// One value of the blackboard with the number of its changes.
template <class Value>
class board_value
{
public:
    // Stores a value that differs from the present one.
    void set(Value next)
    {
        if (m_revision > 0 && next == m_value)
        {
            return;
        }
        m_value = std::move(next);
        ++m_revision;
    }

    const Value& get() const { return m_value; }
    std::uint64_t revision() const { return m_revision; }

private:
    Value m_value{};
    std::uint64_t m_revision = 0;
};

// Remembers which change of a value one reader has seen.
template <class Value>
class board_reader
{
public:
    // Whether the value changed since this was last asked.
    bool changed(const board_value<Value>& value)
    {
        const bool is_new = value.revision() != m_seen;
        m_seen = value.revision();
        return is_new;
    }

private:
    std::uint64_t m_seen = 0;
};

} // namespace crowlink::internal
