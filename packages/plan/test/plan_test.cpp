#include "crowlink/plan.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <string>

namespace crowlink
{
namespace
{

// Round costs, with which a plan can be computed by hand.
measured_costs round_costs()
{
    measured_costs::lines_type lines{};
    const auto set = [&lines](cost which, double fixed, double per_unit)
    {
        lines[static_cast<std::size_t>(which)] = {fixed, per_unit, 0.0};
    };
    set(cost::balancer_packet_ns, 100.0, 10.0);
    set(cost::packet_io_ns, 1000.0, 0.0);
    set(cost::table_bytes, 100.0, 50.0);
    set(cost::observer_renewal_ns, 1000.0, 0.0);
    set(cost::observer_push_ns, 0.0, 1000.0);
    set(cost::observer_push_bytes, 0.0, 200.0);
    set(cost::node_change_ns, 1000.0, 0.0);
    set(cost::node_change_bytes, 200.0, 0.0);
    set(cost::node_bytes, 0.0, 500.0);
    set(cost::node_idle_bytes, 0.0, 30.0);
    set(cost::observer_tick_ns, 0.0, 100.0);
    return measured_costs(lines);
}

deployment small_deployment()
{
    deployment sizes;
    sizes.name = "small";
    sizes.places = 3;
    sizes.services = 2;
    sizes.upstreams = 10;
    sizes.open_flows = 1000;
    sizes.packets_per_second = 1.0e6;
    sizes.bytes_per_packet = 100.0;
    return sizes;
}

const limit_use& use_of(const capacity_plan& plan, limit which)
{
    for (const limit_use& use : plan.limits)
    {
        if (use.which == which)
        {
            return use;
        }
    }
    ADD_FAILURE() << to_string(which) << " is missing";
    return plan.limits.front();
}

TEST(capacity_plan, computes_entry_hosts_for_processor_and_network)
{
    const capacity_plan plan = make_plan(small_deployment(), {}, round_costs());
    // 10^6 packets of 100 + 10 * 5 + 2 * 1000 ns take 2.15 cores; the planned
    // capacity of a host is 2.4. The network load is 2 * 10^8 bytes per second
    // at a planned capacity of 0.75 * 10^8 per host, so that three hosts must
    // remain after the loss of a data centre: two in each of the three.
    EXPECT_EQ(plan.entry_hosts, 6U);
    EXPECT_DOUBLE_EQ(use_of(plan, limit::entry_processor).used, 2.15 / 4);
    EXPECT_DOUBLE_EQ(use_of(plan, limit::entry_network).used, 2.0e8 / 4);
    EXPECT_EQ(plan.binding_limit().which, limit::entry_network);
    EXPECT_TRUE(plan.feasible());
}

TEST(capacity_plan, small_deployments_share_control_hosts)
{
    const capacity_plan plan = make_plan(small_deployment(), {}, round_costs());
    EXPECT_TRUE(plan.shared);
    EXPECT_EQ(plan.control_hosts(), 3U);
}

TEST(capacity_plan, reports_an_exceeded_limit_first)
{
    deployment sizes = small_deployment();
    sizes.upstreams = 1000;
    sizes.open_flows = 3000000;
    const capacity_plan plan = make_plan(sizes, {}, round_costs());
    EXPECT_FALSE(plan.feasible());
    EXPECT_EQ(plan.binding_limit().which, limit::upstream_connections);
    EXPECT_DOUBLE_EQ(plan.binding_limit().share(), 1.5);
    EXPECT_NE(to_text(sizes, plan).find("does not fit"), std::string::npos);
}

TEST(capacity_plan, bursts_of_changes_load_the_network_of_a_node)
{
    deployment sizes = small_deployment();
    sizes.changes_per_day = 86400.0;
    sizes.burst_changes_per_minute = 6000.0;
    const capacity_plan plan = make_plan(sizes, {}, round_costs());
    EXPECT_DOUBLE_EQ(use_of(plan, limit::node_control_network).used,
                     100.0 * 200.0 + 30.0 + 128.0);
    EXPECT_FALSE(plan.feasible());
    EXPECT_EQ(plan.binding_limit().which, limit::node_control_network);
}

TEST(capacity_plan, the_number_of_observers_follows_from_the_sessions)
{
    deployment sizes = small_deployment();
    sizes.upstreams = 40000;
    sizes.entry_hosts = 960;
    sizes.places = 2;
    const capacity_plan plan = make_plan(sizes, {}, round_costs());
    // 40,960 sessions need ten observers, and ten more in the other data
    // centre.
    EXPECT_EQ(plan.observers, 20U);
    EXPECT_EQ(plan.entry_hosts, 960U);
}

TEST(capacity_plan, entry_hosts_do_not_decrease_with_more_packets)
{
    std::uint64_t before = 0;
    for (double packets = 1.0e3; packets < 1.0e9; packets *= 2.0)
    {
        deployment sizes = small_deployment();
        sizes.packets_per_second = packets;
        const auto plan = make_plan(sizes, {}, round_costs());
        EXPECT_GE(plan.entry_hosts, before);
        before = plan.entry_hosts;
    }
}

constexpr const char* plan_text = R"({
    // The toy library.
    "name": "Hiraman", "places": 3, "regions": 1, "services": 2,
    "upstreams": 10, "open_flows": 100, "new_flows_per_second": 1,
    "packets_per_second": 10, "bytes_per_packet": 200,
    "document_bytes": 2000, "changes_per_day": 5, "restarts_per_day": 10,
    "failures_per_day": 0.1, "host": { "cores": 2 }
})";

TEST(plan_file, reads_json_with_comments)
{
    const auto read = read_plan_file(plan_text);
    ASSERT_TRUE(read) << to_string(read.error());
    EXPECT_EQ(read->sizes.name, "Hiraman");
    EXPECT_EQ(read->sizes.upstreams, 10U);
    EXPECT_DOUBLE_EQ(read->sizes.failures_per_day, 0.1);
    EXPECT_DOUBLE_EQ(read->host.cores, 2.0);
    EXPECT_DOUBLE_EQ(read->host.control_cores, 0.012);
}

TEST(plan_file, reports_the_path_of_an_invalid_field)
{
    const auto broken = [](const std::string& from, const std::string& to)
    {
        std::string text = plan_text;
        text.replace(text.find(from), from.size(), to);
        const auto read = read_plan_file(text);
        return read ? "read" : read.error().place;
    };
    EXPECT_EQ(broken("\"places\": 3", "\"places\": -3"), "places");
    EXPECT_EQ(broken("\"places\": 3", "\"places\": 1e300"), "places");
    EXPECT_EQ(broken("\"places\": 3,", ""), "places");
    EXPECT_EQ(broken("places", "palces"), "palces");
    EXPECT_EQ(broken("\"cores\"", "\"coers\""), "host.coers");
    EXPECT_EQ(broken("}", ""), "");
}

TEST(measured_costs, the_embedded_slopes_contain_every_cost)
{
    const auto read = read_costs(shipped_costs_text());
    ASSERT_TRUE(read) << to_string(read.error());
}

TEST(measured_costs, reports_the_name_of_a_missing_cost)
{
    std::string text(shipped_costs_text());
    text.replace(text.find("agent_packet_ns"), 5, "other");
    const auto read = read_costs(text);
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().place, "agent_packet_ns");
}

} // namespace
} // namespace crowlink
