#include "agent_fixture.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

constexpr std::size_t owner = 1;

packet_header continuing(const agent_fixture& fixture)
{
    packet_header made = fixture.header(7);
    made.role = packet_role::continues;
    made.flow.protocol = transport::tcp;
    return made;
}

// Tells the agent that another one owns the flow of `continuing`.
void tell_owner(agent_fixture& fixture, const flow_key& flow)
{
    fixture.tell(redirect_notice{service_id(5),
                                 fixture.core->tag(),
                                 agent_fixture::identity(owner),
                                 std::chrono::minutes(10),
                                 {owned_flow{flow, std::chrono::seconds(1)}}});
}

void show_owner_as(agent_fixture& fixture, upstream_state state)
{
    auto view = std::make_shared<service_view>();
    view->version = config_version(2);
    view->declared.id = service_id(5);
    view->declared.sharing = agent_fixture::warm_sharing();
    view->members = {agent_fixture::member(0)};
    if (state != upstream_state::gone)
    {
        view->members.push_back(agent_fixture::member(owner));
        view->members.back().state = state;
    }
    fixture.handle(view_changed{view});
}

bool is_sent_to_owner(agent_fixture& fixture)
{
    const packet_header sent = continuing(fixture);
    const std::size_t before = fixture.effects.forwards.size();
    fixture.handle(packet_arrived{sent, {}});
    return fixture.effects.forwards.size() > before &&
           fixture.effects.forwards.back().to ==
               agent_fixture::address(owner);
}

} // namespace

// The lease of an upstream that is cut off from control runs out, while its
// flows go on.
TEST(silent_owner, is_still_sent_the_packets_of_its_flows)
{
    agent_fixture fixture(2);
    tell_owner(fixture, continuing(fixture).flow);
    ASSERT_TRUE(is_sent_to_owner(fixture));
    show_owner_as(fixture, upstream_state::silent);
    EXPECT_TRUE(is_sent_to_owner(fixture));
    show_owner_as(fixture, upstream_state::ready);
    EXPECT_TRUE(is_sent_to_owner(fixture));
}

TEST(silent_owner, one_that_has_ended_is_sent_nothing_more)
{
    agent_fixture fixture(2);
    tell_owner(fixture, continuing(fixture).flow);
    show_owner_as(fixture, upstream_state::gone);
    EXPECT_FALSE(is_sent_to_owner(fixture));
}

TEST(silent_owner, gets_no_new_flow)
{
    agent_fixture fixture(2);
    show_owner_as(fixture, upstream_state::silent);
    packet_header opens = fixture.header(9);
    opens.role = packet_role::opens;
    opens.current.push_back(agent_fixture::identity(owner));
    fixture.handle(packet_arrived{opens, {}});
    EXPECT_TRUE(fixture.core->owns(opens.flow));
}

} // namespace crowlink::test
