#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/requests/message_codec.hpp"
#include "crowlink/requests/request_admission.hpp"
#include "reference_service.hpp"

#include <array>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace crowlink::test
{

// An agent on a loopback socket, with an upstream that answers immediately.
class loopback_agent
{
public:
    explicit loopback_agent(const admission_settings& settings)
        : m_socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0))
        , m_agent(settings, incarnation(1))
    {
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof own;
        EXPECT_EQ(::bind(m_socket, reinterpret_cast<sockaddr*>(&own), size), 0);
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&own), &size);
        m_port = ntohs(own.sin_port);
    }

    loopback_agent(const loopback_agent&) = delete;
    loopback_agent& operator=(const loopback_agent&) = delete;
    ~loopback_agent() { ::close(m_socket); }

    endpoint address() const
    {
        return *endpoint::parse("127.0.0.1:" + std::to_string(m_port));
    }

    // Handles and answers the datagrams received so far.
    void serve()
    {
        std::array<char, 2048> buffer;
        sockaddr_in from{};
        socklen_t size = sizeof from;
        ssize_t length = 0;
        while ((length =
                    ::recvfrom(m_socket, buffer.data(), buffer.size(), 0,
                               reinterpret_cast<sockaddr*>(&from), &size)) >= 0)
        {
            const time_point now = steady_clock_source().now();
            m_agent.handle_datagram(
                now, {}, {buffer.data(), static_cast<std::size_t>(length)},
                m_effects);
            run_all(now);
            for (const admission_datagram& sent : m_effects.to_callers)
            {
                ::sendto(m_socket, sent.bytes.data(), sent.bytes.size(), 0,
                         reinterpret_cast<sockaddr*>(&from), size);
            }
            m_effects = {};
        }
    }

private:
    void run_all(time_point now)
    {
        const std::vector<std::string> commands = m_effects.to_upstream;
        for (const std::string& command : commands)
        {
            const auto decoded = decode_upstream_command(command);
            const auto& run = std::get<upstream_run>(*decoded);
            const std::string body =
                reference_service::answer(run.kind, run.body);
            m_agent.handle_upstream(
                now, encode(upstream_answer{run.id, verdict::ran, {}, body}),
                m_effects);
        }
    }

    int m_socket;
    std::uint16_t m_port = 0;
    request_admission m_agent;
    admission_effects m_effects;
};

} // namespace crowlink::test
