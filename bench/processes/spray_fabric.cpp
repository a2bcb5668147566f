// A stand-in for the fabric: it listens on the services' addresses, hands each
// datagram to a balancer that it draws at random, as IP in UDP, and takes the
// balancers' answers back to the callers. A balancer whose port is closed is
// left out for a second, as a fabric's own health check would do.

#include "crowlink/base/random.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/packet/ip_in_udp_port.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/transport/udp_socket.hpp"

#include <cstdio>
#include <fmt/format.h>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace
{

using namespace crowlink;

constexpr std::chrono::seconds wait_slice(1);
constexpr std::chrono::seconds left_out(1);
constexpr poller::token gateway_token = 0;
constexpr poller::token first_service_token = 1;

struct balancer_path
{
    udp_socket socket;
    time_point usable_from{};
};

// The same flow seen from the other end: what the fabric sends to a balancer
// has the caller as its source.
flow_key reversed(const flow_key& flow)
{
    return flow_key{flow.service, flow.caller, flow.protocol};
}

class fabric
{
public:
    fabric(udp_socket gateway, std::vector<udp_socket> services,
           std::vector<balancer_path> balancers, std::uint64_t seed)
        : m_gateway(std::move(gateway))
        , m_services(std::move(services))
        , m_balancers(std::move(balancers))
        , m_random(seed)
        , m_port(endpoint(), endpoint())
        , m_buffer(datagram_batch::default_size)
    {
    }

    [[noreturn]] void run()
    {
        poller waiting;
        waiting.add(m_gateway.handle(), gateway_token);
        for (std::size_t at = 0; at < m_services.size(); ++at)
        {
            waiting.add(m_services[at].handle(), first_service_token + at);
        }
        while (true)
        {
            for (const poller::token token : waiting.wait(wait_slice))
            {
                token == gateway_token
                    ? return_answers()
                    : spray(m_services[token - first_service_token]);
            }
        }
    }

private:
    void spray(const udp_socket& service)
    {
        const std::size_t count = service.receive(m_batch);
        for (std::size_t at = 0; at < count; ++at)
        {
            const flow_key flow{m_batch.peer(at), service.local(),
                                transport::udp};
            const auto packet =
                m_port.answer(reversed(flow), m_batch.bytes(at), m_buffer);
            if (packet)
            {
                send_to_some_balancer(packet->bytes);
            }
        }
    }

    void send_to_some_balancer(std::span<const std::uint8_t> packet)
    {
        const time_point now = m_clock.now();
        const std::size_t first = m_random() % m_balancers.size();
        for (std::size_t step = 0; step < m_balancers.size(); ++step)
        {
            balancer_path& path =
                m_balancers[(first + step) % m_balancers.size()];
            if (now < path.usable_from)
            {
                continue;
            }
            // A closed port is reported by the send after the one it refused.
            if (path.socket.send(packet))
            {
                return;
            }
            path.usable_from = now + left_out;
        }
    }

    void return_answers()
    {
        const std::size_t count = m_gateway.receive(m_batch);
        for (std::size_t at = 0; at < count; ++at)
        {
            const auto packet = m_port.parse(received_datagram{
                m_batch.peer(at), m_gateway.local(), m_batch.bytes(at)});
            if (packet)
            {
                return_answer(reversed(packet->flow), packet->payload);
            }
        }
    }

    void return_answer(const flow_key& flow,
                       std::span<const std::uint8_t> payload)
    {
        for (const udp_socket& service : m_services)
        {
            if (service.local() == flow.service)
            {
                (void)service.send(payload, flow.caller);
            }
        }
    }

    udp_socket m_gateway;
    std::vector<udp_socket> m_services;
    std::vector<balancer_path> m_balancers;
    seeded_random m_random;
    ip_in_udp_port m_port;
    datagram_batch m_batch;
    std::vector<std::uint8_t> m_buffer;
    steady_clock_source m_clock;
};

// Ends the program where an address can't be used.
template <class Open>
udp_socket must_open(const std::string& text, const Open& open)
{
    const auto address = endpoint::parse(text);
    auto socket = address ? open(*address)
                          : result<udp_socket>(tl::unexpected(address.error()));
    if (!socket)
    {
        fmt::print(stderr, "{}\n", to_string(socket.error()));
        std::exit(1);
    }
    return std::move(*socket);
}

udp_socket must_bind(const std::string& text)
{
    return must_open(text, [](const endpoint& address)
                     { return udp_socket::bind(address); });
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Sprays datagrams over balancers as IP in UDP.");
    TCLAP::MultiArg<std::string> services("s", "service", "service address",
                                          true, "endpoint", line);
    TCLAP::MultiArg<std::string> balancers("b", "balancer", "balancer address",
                                           true, "endpoint", line);
    TCLAP::ValueArg<std::string> gateway("g", "gateway", "takes answers", true,
                                         "", "endpoint", line);
    TCLAP::ValueArg<std::uint64_t> seed("r", "seed", "of the random draws",
                                        false, 1, "number", line);
    line.parse(argc, argv);
    std::vector<udp_socket> listening;
    for (const std::string& text : services.getValue())
    {
        listening.push_back(must_bind(text));
    }
    std::vector<balancer_path> paths;
    for (const std::string& text : balancers.getValue())
    {
        paths.push_back(
            balancer_path{must_open(text, [](const endpoint& address)
                                    { return udp_socket::connect(address); })});
    }
    fabric(must_bind(gateway.getValue()), std::move(listening),
           std::move(paths), seed.getValue())
        .run();
}
