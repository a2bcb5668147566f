#include "process/identity.hpp"

#include <gtest/gtest.h>

namespace crowlink::internal
{

namespace
{

daemon_settings at_address()
{
    daemon_settings made;
    made.host =
        host_settings{host_id("10.0.0.1"), place_id("p"), region_id("r")};
    made.seeds.emplace();
    return made;
}

// A balancer beside a control host was taken for it: what other control hosts
// sent it went to that one.
TEST(node_name, processes_of_one_host_have_names_of_their_own)
{
    daemon_settings balancer = at_address();
    balancer.balancer.emplace();
    const daemon_settings agent = at_address();
    daemon_settings relay = at_address();
    relay.operator_relay = endpoint();
    EXPECT_NE(node_name(relay), node_name(agent));
    EXPECT_NE(node_name(relay), node_name(balancer));
    EXPECT_NE(node_name(balancer), balancer.host.name);
    EXPECT_NE(node_name(agent), agent.host.name);
    EXPECT_NE(node_name(balancer), node_name(agent));
    EXPECT_EQ(host_of(node_name(balancer)), balancer.host.name);
}

} // namespace

} // namespace crowlink::internal
