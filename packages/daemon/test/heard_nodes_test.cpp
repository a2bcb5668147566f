#include "control/heard_nodes.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

host_id node(std::size_t number)
{
    return host_id(fmt::format("node-{}", number));
}

} // namespace

// Guards against entries of nodes that have gone elsewhere: a bound on all that
// were ever heard would drop those that are still served.
TEST(heard_nodes, holds_those_of_the_last_two_periods)
{
    for (const std::size_t a_period : {100U, 1'000U, 10'000U})
    {
        heard_nodes tested;
        std::size_t next = 0;
        for (int period = 0; period < 20; ++period)
        {
            tested.note(node(0), "c");
            for (std::size_t count = 1; count < a_period; ++count)
            {
                tested.note(node(++next), "c");
            }
            tested.begin_period();
            EXPECT_NE(tested.find(node(0)), nullptr);
            EXPECT_LE(tested.size(), 2 * a_period);
        }
    }
}

TEST(heard_nodes, finds_the_latest_connection)
{
    heard_nodes tested;
    tested.note(node(1), "first");
    tested.begin_period();
    tested.note(node(1), "second");
    ASSERT_NE(tested.find(node(1)), nullptr);
    EXPECT_EQ(*tested.find(node(1)), "second");
    EXPECT_EQ(tested.size(), 1U);
}

TEST(heard_nodes, forgets_a_node_that_is_silent_for_a_whole_period)
{
    heard_nodes tested;
    tested.note(node(1), "c");
    tested.begin_period();
    EXPECT_NE(tested.find(node(1)), nullptr);
    tested.begin_period();
    EXPECT_EQ(tested.find(node(1)), nullptr);
}

} // namespace crowlink::internal
