#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace crowlink::internal
{

// Hands the newest of a series of immutable values from one thread to others.
// Readers that were slow skip values; none waits.
template <class Value>
class snapshot_slot
{
public:
    using pointer = std::shared_ptr<const Value>;

    void publish(pointer next) { m_value.store(std::move(next)); }
    // Null before the first value.
    pointer read() const { return m_value.load(); }

private:
    std::atomic<pointer> m_value;
};

} // namespace crowlink::internal
