#include "slopes.hpp"
#include "stopwatch.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace crowlink::capacity
{

namespace
{

constexpr std::size_t batch = 64;
constexpr std::size_t largest = 1472;

// A UDP socket on loopback that sends to itself.
class loopback_socket
{
public:
    loopback_socket() : m_socket(socket(AF_INET, SOCK_DGRAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        if (m_socket < 0 || bind(m_socket, generic, size) != 0 ||
            getsockname(m_socket, generic, &size) != 0 ||
            connect(m_socket, generic, size) != 0)
        {
            throw std::runtime_error("no socket on loopback");
        }
    }
    loopback_socket(const loopback_socket&) = delete;
    loopback_socket& operator=(const loopback_socket&) = delete;
    ~loopback_socket() { close(m_socket); }

    // Sends one datagram and receives it, with a system call each.
    void pass(std::size_t size)
    {
        if (send(m_socket, m_buffer.data(), size, 0) < 0 ||
            recv(m_socket, m_buffer.data(), m_buffer.size(), 0) < 0)
        {
            throw std::runtime_error("loopback lost a datagram");
        }
    }

private:
    int m_socket;
    std::array<char, largest> m_buffer{};
};

} // namespace

std::vector<measured_slope> packet_io_slopes(const effort& limit)
{
    measured_slope slope{
        "packet_io_ns", "balancer", "ns a packet", "bytes of a packet", {}};
    loopback_socket socket;
    for (const std::size_t size : limit.sizes({64, 256, 512, 1024, largest}))
    {
        const auto pass_batch = [&socket, size]
        {
            for (std::size_t step = 0; step < batch; ++step)
            {
                socket.pass(size);
            }
        };
        slope.points.push_back(
            {static_cast<double>(size), ns_a_step(limit, batch, pass_batch)});
    }
    return {slope};
}

} // namespace crowlink::capacity
