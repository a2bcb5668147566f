// What the experiments found in the agent, each as the smallest sequence of
// events that shows it.

#include "crowlink/agent.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"

#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <optional>

namespace crowlink
{
namespace
{

// Counts what reaches the upstream and the caller.
struct counting_effects
{
    int delivered = 0;
    int refused = 0;
    int resets = 0;
    // What was last sent to another agent.
    std::optional<packet_header> forwarded;

    void deliver(const flow_key&, payload_view) { ++delivered; }
    void forward(const endpoint&, const packet_header& header, payload_view)
    {
        forwarded = header;
    }
    void answer(const endpoint&, const flow_key&, payload_view) {}
    void refuse(const endpoint&, const flow_key&, payload_view,
                const flow_refusal&)
    {
        ++refused;
    }
    void reset_caller(const endpoint&, const flow_key&, payload_view,
                      const flow_refusal&)
    {
        ++resets;
    }
    void reset_upstream(const flow_key&, refusal_reason) {}
    void close(const flow_key&) {}
    void send(const endpoint&, const peer_message&) {}
    void announce(const upstream_record&) {}
    void decide(const flow_decision&) {}
};

upstream_record record_of(const char* name, const char* address)
{
    upstream_record record;
    record.id = upstream_id(name);
    record.service = service_id(1);
    record.started = incarnation(1);
    record.sequence = 1;
    record.agent = *endpoint::parse(address);
    return record;
}

// One agent of a service of two upstreams, each for one connection.
class agent_findings : public ::testing::Test
{
protected:
    agent_findings() : m_agent(settings(), m_now)
    {
        show_view();
        run(std::chrono::seconds(30));
    }

    static agent_settings settings()
    {
        agent_settings value;
        value.self = record_of("one", "10.0.0.1:7001");
        return value;
    }

    // A new view, in which only the other upstream's weight differs.
    void show_view(std::uint32_t other_weight = 100)
    {
        auto view = std::make_shared<service_view>();
        view->version = config_version(1);
        view->declared.id = service_id(1);
        view->declared.protocol = transport::tcp;
        view->declared.limits = {4, 1};
        view->members = {settings().self, record_of("two", "10.0.0.2:7001")};
        view->members[1].sequence = other_weight;
        view->members[1].weight = other_weight;
        view->balancers = {*endpoint::parse("10.0.0.9:7002")};
        m_table = forwarding_table::build(*view);
        m_agent.handle(m_now, view_changed{view}, m_effects);
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

    static flow_key flow(const char* caller)
    {
        return {*endpoint::parse(caller), *endpoint::parse("198.51.100.1:443"),
                transport::tcp};
    }

    // A packet that was sent to this agent as the flow's only candidate.
    void packet(const flow_key& of, packet_role role, packet_pass pass,
                bool finishes = false)
    {
        packet_header header;
        header.service = service_id(1);
        header.table = m_table->digest();
        header.flow = of;
        header.role = role;
        header.pass = pass;
        header.current.push_back({settings().self.agent, m_agent.tag()});
        header.return_to = *endpoint::parse("10.0.0.9:7002");
        m_agent.handle(
            m_now,
            packet_arrived{header, m_payload, answer_need::required, finishes},
            m_effects);
    }

    std::array<std::uint8_t, 1> m_payload{};
    time_point m_now{std::chrono::hours(1)};
    counting_effects m_effects;
    std::shared_ptr<const forwarding_table> m_table;
    agent m_agent;
};

TEST_F(agent_findings, a_finished_flow_leaves_room_for_a_new_one)
{
    const flow_key first = flow("192.0.2.1:1001");
    packet(first, packet_role::opens, packet_pass::place);
    packet(first, packet_role::continues, packet_pass::lookup, true);
    m_agent.handle(m_now, upstream_answered{first, m_payload, true}, m_effects);
    ASSERT_EQ(m_effects.delivered, 2);
    packet(flow("192.0.2.1:1002"), packet_role::opens, packet_pass::place);
    EXPECT_EQ(m_effects.refused, 0);
    EXPECT_EQ(m_effects.delivered, 3);
}

TEST_F(agent_findings, a_finished_flow_that_opens_again_counts_again)
{
    const flow_key first = flow("192.0.2.1:1001");
    packet(first, packet_role::opens, packet_pass::place);
    packet(first, packet_role::continues, packet_pass::lookup, true);
    m_agent.handle(m_now, upstream_answered{first, m_payload, true}, m_effects);
    ASSERT_EQ(m_agent.flows(), 0U);
    packet(first, packet_role::opens, packet_pass::lookup);
    EXPECT_EQ(m_agent.flows(), 1U);
    // The end that was due for the flow's first life does not come.
    run(std::chrono::seconds(30));
    EXPECT_TRUE(m_agent.owns(first));
}

TEST_F(agent_findings, a_quiet_flow_survives_a_restart_of_its_agent)
{
    m_agent.handle(m_now, upstream_survived{}, m_effects);
    // A shelf feed that says nothing for a minute.
    run(std::chrono::minutes(1));
    // No other agent knows it: this one is the last that is asked.
    packet(flow("192.0.2.1:1001"), packet_role::continues, packet_pass::place);
    EXPECT_EQ(m_effects.resets + m_effects.refused, 0);
    EXPECT_EQ(m_effects.delivered, 1);
}

TEST_F(agent_findings, a_failed_upstream_gets_no_flow_after_a_new_view)
{
    m_agent.handle(m_now, upstream_failed{}, m_effects);
    show_view(50);
    packet(flow("192.0.2.1:1001"), packet_role::opens, packet_pass::place);
    EXPECT_EQ(m_effects.delivered, 0);
    EXPECT_EQ(m_effects.refused, 1);
}

} // namespace
} // namespace crowlink
