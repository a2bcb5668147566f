#include "crowlink/transport/poller.hpp"

#include "crowlink/transport/wake_event.hpp"

#include <cerrno>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace crowlink
{

namespace
{

int checked(int handle, const char* what)
{
    if (handle < 0)
    {
        throw std::system_error(errno, std::generic_category(), what);
    }
    return handle;
}

} // namespace

wake_event::wake_event()
    : m_handle(checked(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd"))
{
}

wake_event::~wake_event()
{
    ::close(m_handle);
}

void wake_event::signal() const
{
    const std::uint64_t one = 1;
    // A full counter means that the thread is to wake already.
    [[maybe_unused]] const ssize_t written =
        ::write(m_handle, &one, sizeof(one));
}

bool wake_event::take() const
{
    std::uint64_t count = 0;
    return ::read(m_handle, &count, sizeof(count)) ==
           static_cast<ssize_t>(sizeof(count));
}

poller::poller(std::size_t events_per_wait)
    : m_handle(checked(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1"))
    , m_events(events_per_wait)
{
    m_ready.reserve(events_per_wait);
}

poller::~poller()
{
    ::close(m_handle);
}

void poller::add(int handle, token name) const
{
    epoll_event event = {};
    event.events = EPOLLIN;
    event.data.u64 = name;
    checked(::epoll_ctl(m_handle, EPOLL_CTL_ADD, handle, &event), "epoll_ctl");
}

void poller::remove(int handle) const
{
    (void)::epoll_ctl(m_handle, EPOLL_CTL_DEL, handle, nullptr);
}

std::span<const poller::token> poller::wait(duration longest)
{
    m_ready.clear();
    const auto whole = std::chrono::ceil<std::chrono::milliseconds>(longest);
    const int count = ::epoll_wait(m_handle, m_events.data(),
                                   static_cast<int>(m_events.size()),
                                   static_cast<int>(whole.count()));
    for (int at = 0; at < count; ++at)
    {
        m_ready.push_back(m_events[static_cast<std::size_t>(at)].data.u64);
    }
    return m_ready;
}

} // namespace crowlink
