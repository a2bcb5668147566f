#include "agent_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

class drained_upstream : public ::testing::Test, public agent_fixture
{
protected:
    drained_upstream() : agent_fixture(3) {}

    void arrive(std::uint16_t number, packet_role role, bool finishes = false)
    {
        packet_header sent = header(number);
        sent.role = role;
        handle(packet_arrived{sent, {}, answer_need::none, finishes});
    }

    // Opens a connection and closes it from both ends.
    void open_and_close(std::uint16_t number)
    {
        arrive(number, packet_role::opens);
        arrive(number, packet_role::continues, true);
        const flow_key ended = flow(number);
        handle(upstream_answered{ended, {}, true});
    }
};

TEST_F(drained_upstream, keeps_open_flows_and_admits_no_new_one)
{
    arrive(1, packet_role::opens);
    set_drained(true);
    const std::size_t before = effects.delivered.size();
    arrive(1, packet_role::continues);
    EXPECT_EQ(effects.delivered.size(), before + 1);
    arrive(2, packet_role::opens);
    EXPECT_EQ(effects.delivered.size(), before + 1);
    EXPECT_TRUE(core->owns(flow(1)));
}

// The hosts of upstreams that were replaced are stopped some seconds later. An
// upstream that was announced as living again then kept packets of its former
// flows from being answered for two seconds.
TEST_F(drained_upstream, that_has_ended_stays_gone_when_its_agent_stops)
{
    handle(upstream_failed{});
    ASSERT_FALSE(effects.announced.empty());
    EXPECT_EQ(effects.announced.back().state, upstream_state::gone);
    handle(leave_requested{});
    EXPECT_EQ(effects.announced.back().state, upstream_state::gone);
}

// The agent keeps a closed connection for a while, and its caller may reuse the
// same addresses for another one.
TEST_F(drained_upstream, does_not_reopen_a_closed_connection)
{
    open_and_close(1);
    open_and_close(2);
    const std::size_t before = effects.delivered.size();
    arrive(1, packet_role::opens);
    ASSERT_EQ(effects.delivered.size(), before + 1);
    set_drained(true);
    arrive(2, packet_role::opens);
    EXPECT_EQ(effects.delivered.size(), before + 1);
}

} // namespace

} // namespace crowlink::test
