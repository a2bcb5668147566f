#include "agent_fixture.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

// A packet of a connection with three candidates, this agent first.
packet_header three_candidates(const agent_fixture& fixture, packet_role role)
{
    packet_header made = fixture.header(1);
    made.role = role;
    made.flow.protocol = transport::tcp;
    made.current.push_back(agent_fixture::identity(1));
    made.current.push_back(agent_fixture::identity(2));
    return made;
}

} // namespace

TEST(returned_packet, opening_packet_is_forwarded_to_the_next_candidate)
{
    agent_fixture fixture(3);
    const packet_header opens = three_candidates(fixture, packet_role::opens);
    fixture.handle(packet_returned{opens, {}});
    ASSERT_EQ(fixture.effects.forwards.size(), 1U);
    const packet_header& sent = fixture.effects.forwards[0].header;
    EXPECT_EQ(fixture.effects.forwards[0].to, agent_fixture::address(1));
    EXPECT_EQ(sent.pass, packet_pass::place);
    EXPECT_FALSE(fixture.core->owns(opens.flow));
    EXPECT_TRUE(fixture.effects.refusals.empty());
}

TEST(returned_packet, caller_is_refused_after_all_candidates_returned_it)
{
    agent_fixture fixture(3);
    packet_header opens = three_candidates(fixture, packet_role::opens);
    // The second candidate was asked first, and the third after it.
    opens.pass = packet_pass::place;
    opens.best = 1;
    opens.position = 0;
    fixture.handle(packet_returned{opens, {}});
    EXPECT_TRUE(fixture.effects.forwards.empty());
    ASSERT_EQ(fixture.effects.refusals.size(), 1U);
    EXPECT_EQ(fixture.effects.refusals[0].told.outcome, verdict::not_run);
}

// Agents that restarted together each adopt flows that may be theirs.
TEST(returned_packet, wrongly_adopted_flow_is_searched_for_elsewhere)
{
    agent_fixture fixture(3);
    fixture.handle(upstream_survived{});
    packet_header later = three_candidates(fixture, packet_role::continues);
    later.pass = packet_pass::place;
    fixture.handle(packet_arrived{later, {}});
    ASSERT_TRUE(fixture.core->owns(later.flow));
    fixture.effects.sent.clear();
    fixture.handle(packet_returned{later, {}});
    EXPECT_FALSE(fixture.core->owns(later.flow));
    // The walk has ended: every other member is asked.
    std::vector<endpoint> asked;
    for (const auto& [to, message] : fixture.effects.sent)
    {
        const auto* question = std::get_if<owner_question>(&message);
        if (question != nullptr)
        {
            EXPECT_EQ(question->flows, std::vector{later.flow});
            asked.push_back(to);
        }
    }
    std::sort(asked.begin(), asked.end());
    EXPECT_EQ(asked, (std::vector{agent_fixture::address(1),
                                  agent_fixture::address(2)}));
    // The next packet does not make the agent adopt the flow again.
    fixture.handle(packet_arrived{later, {}});
    EXPECT_FALSE(fixture.core->owns(later.flow));
}

TEST(returned_packet, flow_lost_by_the_upstream_is_closed)
{
    agent_fixture fixture(1);
    packet_header opens = fixture.header(1);
    fixture.handle(packet_arrived{opens, {}});
    ASSERT_TRUE(fixture.core->owns(opens.flow));
    packet_header later = opens;
    later.role = packet_role::continues;
    fixture.handle(packet_returned{later, {}});
    EXPECT_FALSE(fixture.core->owns(opens.flow));
    EXPECT_TRUE(fixture.effects.forwards.empty());
}

// An address may move to another service while connections to it are open.
TEST(moved_address, connection_stays_with_its_upstream)
{
    agent_fixture fixture(1);
    packet_header opens = fixture.header(1);
    opens.role = packet_role::opens;
    opens.flow.protocol = transport::tcp;
    fixture.handle(packet_arrived{opens, {}});
    ASSERT_TRUE(fixture.core->owns(opens.flow));
    packet_header later = opens;
    later.role = packet_role::continues;
    later.service = service_id(6);
    const std::size_t before = fixture.effects.delivered.size();
    fixture.handle(packet_arrived{later, {}});
    EXPECT_EQ(fixture.effects.delivered.size(), before + 1);
}

TEST(moved_address, opening_packet_of_another_service_is_dropped)
{
    agent_fixture fixture(1);
    for (const packet_pass pass : {packet_pass::admit, packet_pass::place})
    {
        packet_header opens = fixture.header(1);
        opens.role = packet_role::opens;
        opens.pass = pass;
        opens.service = service_id(6);
        fixture.handle(packet_arrived{opens, {}});
    }
    EXPECT_TRUE(fixture.effects.delivered.empty());
    EXPECT_EQ(fixture.core->counts().wrong_service, 2U);
}

} // namespace crowlink::test
