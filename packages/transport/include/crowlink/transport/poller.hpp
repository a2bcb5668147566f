#pragma once

#include "crowlink/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <sys/epoll.h>
#include <vector>

namespace crowlink
{

// Waits until one of many descriptors can be read (epoll, level-triggered).
class poller
{
public:
    // What the caller knows a descriptor by.
    using token = std::uint64_t;

    explicit poller(std::size_t events_per_wait = 64);
    poller(const poller&) = delete;
    poller& operator=(const poller&) = delete;
    ~poller();

    void add(int handle, token name) const;
    void remove(int handle) const;

    // The descriptors that can be read, valid until the next wait; empty if
    // the time passed.
    std::span<const token> wait(duration longest);

private:
    int m_handle;
    std::vector<epoll_event> m_events;
    std::vector<token> m_ready;
};

} // namespace crowlink
