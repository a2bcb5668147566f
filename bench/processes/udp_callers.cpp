// Callers of UDP services: each flow has a socket of its own and sends
// datagrams one after the other, again when an answer is late. It checks that
// each answer is that of the right service and of the flow's own upstream, and
// prints where each flow went.

#include "crowlink/base/time.hpp"
#include "crowlink/transport/datagram_batch.hpp"
#include "crowlink/transport/poller.hpp"
#include "crowlink/transport/udp_socket.hpp"

#include <cstdio>
#include <fmt/format.h>
#include <map>
#include <sstream>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace
{

using namespace crowlink;

constexpr std::chrono::milliseconds wait_slice(5);

struct target
{
    std::string service;
    endpoint address;
};

struct flow
{
    std::size_t target = 0;
    udp_socket socket;
    std::uint32_t next = 0;
    bool waiting = false;
    std::uint32_t tries = 0;
    time_point due{};
    std::string upstream{};
    std::uint32_t sent = 0;
    bool failed = false;
};

struct plan
{
    std::vector<target> targets;
    std::uint32_t messages = 0;
    duration gap{};
    duration patience{};
    std::uint32_t most_tries = 0;
};

class callers
{
public:
    callers(plan settings, std::vector<flow> flows, time_point now)
        : m_plan(std::move(settings)), m_flows(std::move(flows))
    {
        for (std::size_t at = 0; at < m_flows.size(); ++at)
        {
            m_poller.add(m_flows[at].socket.handle(), at);
            // Spread over one gap, so that flows do not act as one.
            m_flows[at].due = now + m_plan.gap * static_cast<int>(at) /
                                        static_cast<int>(m_flows.size());
        }
    }

    void run()
    {
        while (m_finished < m_flows.size())
        {
            for (const poller::token token : m_poller.wait(wait_slice))
            {
                take(m_flows[token]);
            }
            const time_point now = m_clock.now();
            for (flow& each : m_flows)
            {
                if (now >= each.due)
                {
                    act(now, each);
                }
            }
        }
    }

    // Prints every flow, then the sums; true if all went well.
    bool report() const
    {
        std::map<std::string, std::size_t> by_upstream;
        std::size_t sent = 0;
        std::size_t failed = 0;
        for (std::size_t at = 0; at < m_flows.size(); ++at)
        {
            const flow& each = m_flows[at];
            fmt::print("flow={} from={} service={} upstream={} answered={}/{}"
                       "\n",
                       at, each.socket.local().to_string(),
                       m_plan.targets[each.target].service, each.upstream,
                       each.next, m_plan.messages);
            ++by_upstream[each.upstream];
            sent += each.sent;
            failed += each.failed ? 1 : 0;
        }
        for (const auto& [upstream, flows] : by_upstream)
        {
            fmt::print("upstream={} flows={}\n", upstream, flows);
        }
        fmt::print("flows={} answered={} sent={} resent={} wrong_service={} "
                   "moved={} failed={}\n",
                   m_flows.size(), m_answered, sent, sent - m_messages,
                   m_wrong_service, m_moved, failed);
        return failed == 0 && m_wrong_service == 0 && m_moved == 0;
    }

private:
    void act(time_point now, flow& each)
    {
        if (each.failed || each.next >= m_plan.messages)
        {
            return;
        }
        if (each.waiting && each.tries >= m_plan.most_tries)
        {
            each.failed = true;
            ++m_finished;
            tell("unanswered", each, "");
            return;
        }
        m_messages += each.waiting ? 0 : 1;
        each.tries = each.waiting ? each.tries + 1 : 1;
        each.waiting = true;
        each.due = now + m_plan.patience;
        ++each.sent;
        const std::string text = fmt::format("{}", each.next);
        (void)each.socket.send(
            std::span(reinterpret_cast<const std::uint8_t*>(text.data()),
                      text.size()),
            m_plan.targets[each.target].address);
    }

    void take(flow& each)
    {
        const std::size_t count = each.socket.receive(m_batch);
        for (std::size_t at = 0; at < count; ++at)
        {
            const auto bytes = m_batch.bytes(at);
            read(each, std::string(bytes.begin(), bytes.end()));
        }
    }

    void read(flow& each, const std::string& text)
    {
        std::istringstream words(text);
        std::string service;
        std::string upstream;
        std::uint32_t number = 0;
        words >> service >> upstream >> number;
        m_wrong_service +=
            service == m_plan.targets[each.target].service ? 0 : 1;
        if (!each.upstream.empty() && each.upstream != upstream)
        {
            ++m_moved;
            tell("moved", each, upstream);
        }
        each.upstream = upstream;
        if (!each.waiting || number != each.next)
        {
            // The answer to a resent datagram, which was answered already.
            return;
        }
        ++m_answered;
        ++each.next;
        each.waiting = false;
        each.due = m_clock.now() + m_plan.gap;
        m_finished += each.next == m_plan.messages ? 1 : 0;
    }

    // Says at once what went wrong, so that it can be put beside other logs.
    static void tell(const char* what, const flow& each,
                     const std::string& answered_by)
    {
        fmt::print("{} from={} message={} upstream={} answered_by={}\n", what,
                   each.socket.local().to_string(), each.next, each.upstream,
                   answered_by);
        std::fflush(stdout);
    }

    plan m_plan;
    std::vector<flow> m_flows;
    poller m_poller;
    datagram_batch m_batch{8, 4096};
    steady_clock_source m_clock;
    std::size_t m_finished = 0;
    std::size_t m_messages = 0;
    std::size_t m_answered = 0;
    std::size_t m_wrong_service = 0;
    std::size_t m_moved = 0;
};

// "Hiraman=127.0.0.1:9000"
result<target> parse_target(const std::string& text)
{
    const std::size_t split = text.find('=');
    if (split == std::string::npos)
    {
        return fail(error_kind::invalid, text, "allowed: NAME=ADDRESS:PORT");
    }
    const auto address = endpoint::parse(text.substr(split + 1));
    if (!address)
    {
        return tl::unexpected(address.error());
    }
    return target{text.substr(0, split), *address};
}

result<std::vector<flow>> open_flows(const plan& settings, std::size_t count)
{
    std::vector<flow> flows;
    const endpoint any_port = *endpoint::parse("127.0.0.1:0");
    for (std::size_t at = 0; at < count; ++at)
    {
        result<udp_socket> socket = udp_socket::bind(any_port);
        if (!socket)
        {
            return tl::unexpected(socket.error());
        }
        flows.push_back(flow{at % settings.targets.size(), std::move(*socket)});
    }
    return flows;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Calls UDP services and checks their answers.");
    TCLAP::MultiArg<std::string> services("s", "service", "NAME=ADDRESS:PORT",
                                          true, "target", line);
    TCLAP::ValueArg<std::size_t> count("f", "flows", "number of flows", false,
                                       12, "number", line);
    TCLAP::ValueArg<std::uint32_t> messages(
        "m", "messages", "datagrams of each flow", false, 20, "number", line);
    TCLAP::ValueArg<int> gap("g", "gap-ms", "time between datagrams", false,
                             100, "ms", line);
    TCLAP::ValueArg<int> patience("p", "patience-ms", "time until a resend",
                                  false, 200, "ms", line);
    TCLAP::ValueArg<std::uint32_t> tries("t", "tries", "most sends of each",
                                         false, 25, "number", line);
    line.parse(argc, argv);
    plan settings;
    for (const std::string& text : services.getValue())
    {
        const auto parsed = parse_target(text);
        if (!parsed)
        {
            fmt::print(stderr, "{}\n", to_string(parsed.error()));
            return 2;
        }
        settings.targets.push_back(*parsed);
    }
    settings.messages = messages.getValue();
    settings.gap = std::chrono::milliseconds(gap.getValue());
    settings.patience = std::chrono::milliseconds(patience.getValue());
    settings.most_tries = tries.getValue();
    auto flows = open_flows(settings, count.getValue());
    if (!flows)
    {
        fmt::print(stderr, "{}\n", to_string(flows.error()));
        return 2;
    }
    callers all(settings, std::move(*flows), steady_clock_source().now());
    all.run();
    return all.report() ? 0 : 1;
}
