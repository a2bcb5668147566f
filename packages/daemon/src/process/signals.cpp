#include "process/signals.hpp"

#include <cerrno>
#include <csignal>
#include <poll.h>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>

namespace crowlink::internal
{

namespace
{

sigset_t wanted_signals()
{
    sigset_t wanted;
    sigemptyset(&wanted);
    sigaddset(&wanted, SIGTERM);
    sigaddset(&wanted, SIGINT);
    sigaddset(&wanted, SIGHUP);
    return wanted;
}

} // namespace

signals::signals()
{
    const sigset_t wanted = wanted_signals();
    pthread_sigmask(SIG_BLOCK, &wanted, nullptr);
    m_handle = ::signalfd(-1, &wanted, SFD_NONBLOCK | SFD_CLOEXEC);
    if (m_handle < 0)
    {
        throw std::system_error(errno, std::generic_category(), "signalfd");
    }
}

signals::~signals()
{
    ::close(m_handle);
}

std::optional<int> signals::wait(duration longest) const
{
    pollfd item = {m_handle, POLLIN, 0};
    const auto whole = std::chrono::ceil<std::chrono::milliseconds>(longest);
    (void)::poll(&item, 1, static_cast<int>(whole.count()));
    signalfd_siginfo found = {};
    if (::read(m_handle, &found, sizeof(found)) != sizeof(found))
    {
        return std::nullopt;
    }
    return static_cast<int>(found.ssi_signo);
}

} // namespace crowlink::internal
