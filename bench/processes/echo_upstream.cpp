// A stand-in for an upstream of a UDP service: it answers each datagram with
// its service, its own name and the datagram, until it is ended.

#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/transport/udp_socket.hpp"

#include <cstdio>
#include <cstring>
#include <fmt/format.h>
#include <string>
#include <tclap/CmdLine.h>

namespace
{

using namespace crowlink;

constexpr std::chrono::seconds wait_slice(1);

void answer(const udp_socket& socket, const std::string& prefix,
            datagram_batch& received, datagram_batch& answers)
{
    const std::size_t count = socket.receive(received);
    for (std::size_t at = 0; at < count; ++at)
    {
        const auto asked = received.bytes(at);
        const auto out = answers.next();
        std::memcpy(out.data(), prefix.data(), prefix.size());
        std::memcpy(out.data() + prefix.size(), asked.data(), asked.size());
        answers.commit(prefix.size() + asked.size(), received.peer(at));
    }
    socket.send(answers);
}

[[noreturn]] void serve(const udp_socket& socket, const std::string& prefix)
{
    // Room for the prefix beyond what may be received.
    datagram_batch received(datagram_batch::default_count, 4096);
    datagram_batch answers(datagram_batch::default_count, 8192);
    poller waiting;
    waiting.add(socket.handle(), 0);
    while (true)
    {
        if (!waiting.wait(wait_slice).empty())
        {
            answer(socket, prefix, received, answers);
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Echoes datagrams as an upstream would.");
    TCLAP::ValueArg<std::string> listen("l", "listen", "address and port", true,
                                        "", "endpoint", line);
    TCLAP::ValueArg<std::string> service("s", "service", "name of the service",
                                         true, "", "name", line);
    TCLAP::ValueArg<std::string> name("n", "name", "name of the upstream", true,
                                      "", "name", line);
    line.parse(argc, argv);
    const auto address = endpoint::parse(listen.getValue());
    const auto socket =
        address ? udp_socket::bind(*address)
                : result<udp_socket>(tl::unexpected(address.error()));
    if (!socket)
    {
        fmt::print(stderr, "{}\n", to_string(socket.error()));
        return 1;
    }
    serve(*socket, fmt::format("{} {} ", service.getValue(), name.getValue()));
}
