#include "agent/port_probe.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace crowlink::internal
{

port_probe::~port_probe()
{
    close();
}

void port_probe::ask(const endpoint& address)
{
    close();
    m_handle = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_handle < 0 || !address.address.is_v4())
    {
        close();
        return;
    }
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    const auto& bytes = address.address.bytes();
    std::memcpy(&to.sin_addr, bytes.data() + bytes.size() - sizeof(to.sin_addr),
                sizeof(to.sin_addr));
    const int begun =
        ::connect(m_handle, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    m_is_refused = begun != 0 && errno == ECONNREFUSED;
}

port_probe::answer port_probe::take()
{
    if (m_handle < 0)
    {
        return answer::none;
    }
    if (m_is_refused)
    {
        close();
        return answer::refuses;
    }
    pollfd waiting = {m_handle, POLLOUT, 0};
    if (::poll(&waiting, 1, 0) <= 0)
    {
        return answer::none;
    }
    int failure = 0;
    socklen_t size = sizeof(failure);
    (void)::getsockopt(m_handle, SOL_SOCKET, SO_ERROR, &failure, &size);
    close();
    if (failure == 0)
    {
        return answer::listens;
    }
    return failure == ECONNREFUSED ? answer::refuses : answer::none;
}

void port_probe::close()
{
    if (m_handle >= 0)
    {
        ::close(m_handle);
        m_handle = -1;
    }
    m_is_refused = false;
}

} // namespace crowlink::internal
