#include "heap_use.hpp"
#include "sample_views.hpp"
#include "slopes.hpp"
#include "stopwatch.hpp"

#include "crowlink/agent.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"

#include <array>
#include <memory>
#include <optional>
#include <stdexcept>
#include <variant>
#include <vector>

namespace crowlink::capacity
{

namespace
{

constexpr std::size_t members = 7;
constexpr std::size_t packets = 4096;
const std::array<std::uint8_t, 64> payload{};

// Counts what an agent does and does nothing.
struct counting_effects
{
    std::uint64_t delivered = 0;
    std::uint64_t messages = 0;
    std::uint64_t told_flows = 0;
    // What the agent sends to itself, as the head of the chain.
    std::optional<packet_header> forwarded;

    void deliver(const flow_key& /*flow*/, payload_view /*payload*/)
    {
        ++delivered;
    }
    void forward(const endpoint& /*to*/, const packet_header& header,
                 payload_view /*payload*/)
    {
        forwarded = header;
    }
    void answer(const endpoint& /*to*/, const flow_key& /*flow*/,
                payload_view /*payload*/)
    {
    }
    void refuse(const endpoint& /*to*/, const flow_key& /*flow*/,
                payload_view /*payload*/, const flow_refusal& /*told*/)
    {
    }
    void reset_caller(const endpoint& /*to*/, const flow_key& /*flow*/,
                      payload_view /*payload*/, const flow_refusal& /*told*/)
    {
    }
    void reset_upstream(const flow_key& /*flow*/, refusal_reason /*reason*/) {}
    void close(const flow_key& /*flow*/) {}
    void send(const endpoint& /*to*/, const peer_message& message)
    {
        ++messages;
        if (const auto* told = std::get_if<redirect_notice>(&message))
        {
            told_flows += told->flows.size();
        }
    }
    void announce(const upstream_record& /*record*/) {}
    void decide(const flow_decision& /*decision*/) {}
};

// One agent that owns so many flows, each admitted as their first candidate.
class agent_bed
{
public:
    explicit agent_bed(std::size_t flows) : m_agent(settings(), m_now)
    {
        m_agent.handle(m_now, view_changed{view(members, flows)}, m_effects);
        choose_flows(flows);
        // Past the time in which a started agent looks elsewhere first.
        run(std::chrono::seconds(30));
        for (std::uint32_t number = 0; number < flows; ++number)
        {
            open(number);
        }
        if (m_effects.delivered < flows)
        {
            throw std::runtime_error("the agent did not take all flows");
        }
    }

    // A packet that opens a flow.
    void open(std::uint32_t number) { packet(number, packet_role::opens); }

    // A packet of a flow that is open.
    void next(std::uint32_t number) { packet(number, packet_role::continues); }

    // Another member joins or leaves: the table changes.
    void change_table(std::size_t member_count, std::size_t flows)
    {
        m_agent.handle(m_now, view_changed{view(member_count, flows)},
                       m_effects);
    }

    void run(duration time)
    {
        constexpr duration step = std::chrono::milliseconds(100);
        for (duration passed{}; passed < time; passed += step)
        {
            m_now += step;
            m_agent.handle(m_now, tick{}, m_effects);
        }
    }

    const counting_effects& effects() const { return m_effects; }

private:
    // The flows whose first candidate this agent is.
    void choose_flows(std::size_t flows)
    {
        m_table = forwarding_table::build(*view(members, flows));
        const upstream_record self = sample_record(0, 0);
        for (std::uint32_t number = 0; m_numbers.size() < flows; ++number)
        {
            flow_key flow = sample_flow(0, number);
            flow.protocol = transport::tcp;
            if (m_table->chain(stable_hash(flow))[0].agent == self.agent)
            {
                m_numbers.push_back(number);
            }
        }
    }

    static agent_settings settings()
    {
        agent_settings value;
        value.self = sample_record(0, 0);
        return value;
    }

    static std::shared_ptr<const service_view> view(std::size_t member_count,
                                                    std::size_t flows)
    {
        auto changed =
            std::make_shared<service_view>(sample_view(0, member_count));
        // Far below its limit, so that no flow is handed off.
        changed->declared.limits.connections =
            static_cast<std::uint32_t>(4 * flows);
        changed->declared.protocol = transport::tcp;
        changed->balancers = {service_endpoint(1)};
        return changed;
    }

    void packet(std::uint32_t number, packet_role role)
    {
        packet_header header;
        header.service = sample_record(0, 0).service;
        header.table = m_table->digest();
        header.flow = sample_flow(0, m_numbers[number]);
        header.flow.protocol = transport::tcp;
        header.role = role;
        header.current = m_table->chain(stable_hash(header.flow));
        header.return_to = service_endpoint(1);
        handle(header);
        if (m_effects.forwarded)
        {
            // The other candidates were asked, and this one is to take it.
            header = *m_effects.forwarded;
            m_effects.forwarded.reset();
            header.position = 0;
            header.pass = packet_pass::place;
            handle(header);
        }
    }

    void handle(const packet_header& header)
    {
        m_agent.handle(
            m_now, packet_arrived{header, payload, answer_need::none, false},
            m_effects);
    }

    time_point m_now{std::chrono::hours(1)};
    counting_effects m_effects;
    std::shared_ptr<const forwarding_table> m_table;
    std::vector<std::uint32_t> m_numbers;
    agent m_agent;
};

std::vector<std::size_t> flow_counts(const effort& limit)
{
    return limit.sizes({2000, 16000, 128000, 1024000});
}

measured_slope known_packet(const effort& limit)
{
    measured_slope slope{"agent_packet_ns",
                         "agent",
                         "ns a packet",
                         "open flows of the agent",
                         {}};
    for (const std::size_t flows : flow_counts(limit))
    {
        agent_bed bed(flows);
        std::uint32_t number = 0;
        const auto pass = [&]
        {
            for (std::size_t count = 0; count < packets; ++count)
            {
                // Scattered over the flows, so that caches help no more than
                // they would.
                number = static_cast<std::uint32_t>((number + 7919U) % flows);
                bed.next(number);
            }
        };
        slope.points.push_back(
            {static_cast<double>(flows), ns_a_step(limit, packets, pass)});
    }
    return slope;
}

std::vector<measured_slope> state(const effort& limit)
{
    measured_slope bytes{"agent_flow_bytes",
                         "agent",
                         "bytes of heap",
                         "open flows of the agent",
                         {}};
    measured_slope time{"agent_open_ns",
                        "agent",
                        "ns a new flow",
                        "open flows of the agent",
                        {}};
    for (const std::size_t flows : flow_counts(limit))
    {
        const double before = heap_bytes();
        const auto begin = std::chrono::steady_clock::now();
        const agent_bed bed(flows);
        const std::chrono::duration<double, std::nano> passed =
            std::chrono::steady_clock::now() - begin;
        const auto at = static_cast<double>(flows);
        bytes.points.push_back({at, heap_bytes() - before});
        time.points.push_back({at, passed.count() / at});
    }
    return {bytes, time};
}

// A member joins: the agent's work until displaced flows are published.
std::vector<measured_slope> table_change(const effort& limit)
{
    measured_slope time{"agent_change_ns",
                        "agent",
                        "ns a change",
                        "open flows of the agent",
                        {}};
    measured_slope told{"agent_change_messages",
                        "agent",
                        "messages to other agents in 10 s after a change",
                        "open flows of the agent",
                        {}};
    for (const std::size_t flows : flow_counts(limit))
    {
        agent_bed bed(flows);
        bed.run(std::chrono::seconds(10));
        const std::uint64_t before = bed.effects().messages;
        const auto begin = std::chrono::steady_clock::now();
        bed.change_table(members + 1, flows);
        const std::chrono::duration<double, std::nano> passed =
            std::chrono::steady_clock::now() - begin;
        bed.run(std::chrono::seconds(10));
        const auto at = static_cast<double>(flows);
        time.points.push_back({at, passed.count()});
        told.points.push_back(
            {at, static_cast<double>(bed.effects().messages - before)});
    }
    return {time, told};
}

measured_slope idle_tick(const effort& limit)
{
    measured_slope slope{"agent_tick_ns",
                         "agent",
                         "ns a tick of 100 ms",
                         "open flows of the agent",
                         {}};
    constexpr std::size_t ticks = 50;
    for (const std::size_t flows : flow_counts(limit))
    {
        agent_bed bed(flows);
        const auto tick_often = [&bed]
        {
            bed.run(std::chrono::seconds(5));
        };
        slope.points.push_back(
            {static_cast<double>(flows), ns_a_step(limit, ticks, tick_often)});
    }
    return slope;
}

} // namespace

std::vector<measured_slope> agent_slopes(const effort& limit)
{
    std::vector<measured_slope> all{known_packet(limit)};
    for (const auto& group : {state(limit), table_change(limit)})
    {
        all.insert(all.end(), group.begin(), group.end());
    }
    all.push_back(idle_tick(limit));
    return all;
}

} // namespace crowlink::capacity
