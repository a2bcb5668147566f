#include "agent/port_probe.hpp"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace crowlink::internal
{

namespace
{

// A TCP port of this host that somebody holds, and perhaps listens on.
class held_port
{
public:
    explicit held_port(bool listens)
        : m_handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* raw = reinterpret_cast<sockaddr*>(&address);
        EXPECT_EQ(::bind(m_handle, raw, size), 0);
        if (listens)
        {
            EXPECT_EQ(::listen(m_handle, 4), 0);
        }
        EXPECT_EQ(::getsockname(m_handle, raw, &size), 0);
        m_address = *endpoint::parse("127.0.0.1:0");
        m_address.port = ntohs(address.sin_port);
    }
    held_port(const held_port&) = delete;
    held_port& operator=(const held_port&) = delete;
    ~held_port() { ::close(m_handle); }

    const endpoint& address() const { return m_address; }

private:
    int m_handle;
    endpoint m_address;
};

port_probe::answer wait_for(port_probe& probe)
{
    port_probe::answer found = port_probe::answer::none;
    while (found == port_probe::answer::none)
    {
        found = probe.take();
    }
    return found;
}

TEST(port_probe, tells_a_port_that_is_served_from_one_that_is_not)
{
    const held_port open(true);
    const held_port closed(false);
    port_probe probe;
    EXPECT_EQ(probe.take(), port_probe::answer::none);
    probe.ask(open.address());
    EXPECT_EQ(wait_for(probe), port_probe::answer::listens);
    probe.ask(closed.address());
    EXPECT_EQ(wait_for(probe), port_probe::answer::refuses);
    EXPECT_EQ(probe.take(), port_probe::answer::none);
}

TEST(port_probe, a_new_question_drops_the_one_before)
{
    const held_port open(true);
    const held_port closed(false);
    port_probe probe;
    probe.ask(closed.address());
    probe.ask(open.address());
    EXPECT_EQ(wait_for(probe), port_probe::answer::listens);
}

} // namespace

} // namespace crowlink::internal
