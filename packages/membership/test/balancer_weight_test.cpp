#include "crowlink/membership/balancer_record.hpp"
#include "fake_cluster.hpp"

namespace crowlink::test
{

namespace
{

using weights = std::map<std::string, std::uint32_t>;

constexpr std::uint64_t seed = 20261204;

upstream_record balancer(const std::string& id, const std::string& place,
                         std::optional<double> mbps, const std::string& address)
{
    balancer_record record;
    record.id = host_id(id);
    record.where = place_id(place);
    record.answers = *endpoint::parse(address);
    record.weight = link_weight(mbps);
    return to_member(record);
}

service declared_service()
{
    service declared;
    declared.id = service_id(1);
    declared.name = "service";
    return declared;
}

interest balancer_wants()
{
    interest wants;
    wants.all_services = true;
    wants.unlisted_balancers_in = {place_id("p")};
    return wants;
}

weights weights_in(const internal::subscribed_state& state,
                   const std::string& place)
{
    weights out;
    for (const upstream_record& each : state.balancers(place_id(place)))
    {
        out[each.id.value()] = each.weight;
    }
    return out;
}

} // namespace

TEST(balancer_weight, is_the_capacity_of_the_link)
{
    EXPECT_EQ(link_weight(2.9), 3U);
    EXPECT_EQ(link_weight(0.1), 1U);
    EXPECT_EQ(link_weight(1e6), 1000U);
    EXPECT_EQ(to_member(balancer_record()).weight, upstream_record().weight);
    EXPECT_EQ(link_weight(std::nullopt), upstream_record().weight);
}

// Guards against a balancer that does not learn the others' capacities, or
// learns those of other data centres, whose records would cost it traffic.
TEST(balancer_weight, reaches_the_balancers_of_the_same_data_centre)
{
    fake_cluster cluster(seed);
    cluster.document.services.push_back(declared_service());
    cluster.add_control("c0", "p", "r");
    cluster.add_control("c1", "q", "r");
    cluster.start_controls();
    cluster.add_record(balancer("b0", "p", 100, "10.0.0.1:1"), "r");
    cluster.add_record(balancer("b1", "p", 2.9, "10.0.0.2:1"), "r");
    cluster.add_record(balancer("b2", "q", 5, "10.0.0.3:1"), "r");
    cluster.add_node("node", balancer_wants(), "r");
    interest agent;
    agent.services = {service_id(1)};
    agent.balancers_in = {place_id("p")};
    cluster.add_node("agent", agent, "r");
    cluster.run(std::chrono::seconds(20));
    ASSERT_EQ(cluster.difference(), "");
    const subscriber& core = *cluster.nodes[0].core;
    EXPECT_EQ(weights_in(core.state(), "p"), (weights{{"b0", 100}, {"b1", 3}}));
    EXPECT_EQ(weights_in(core.state(), "q"), weights());
    EXPECT_TRUE(core.view(service_id(1))->balancers.empty());
    EXPECT_EQ(cluster.nodes[1].core->view(service_id(1))->balancers.size(), 2U);
    // One dies without a word, and its lease ends.
    cluster.announcers[0].core.reset();
    cluster.run(std::chrono::seconds(30));
    EXPECT_EQ(weights_in(core.state(), "p"), (weights{{"b1", 3}}));
    EXPECT_EQ(cluster.nodes[1].core->view(service_id(1))->balancers.size(), 1U);
}

// Guards against the cost of remaking the views of all services, some with
// thousands of members, whenever an entry host starts or ends.
TEST(balancer_weight, an_unlisted_balancer_changes_no_view)
{
    internal::subscribed_state state;
    state.set_lists_balancers(false);
    state.take_service(declared_service(), false, 1, 1);
    state.put_in_force(1);
    state.take_changed();
    const std::uint64_t before = state.balancers_revision();
    const upstream_record record = balancer("b0", "p", 5, "10.0.0.1:1");
    state.take_record(time_point(), record, false, 1, 1);
    EXPECT_TRUE(state.take_changed().empty());
    EXPECT_NE(state.balancers_revision(), before);
    EXPECT_TRUE(state.view(service_id(1))->balancers.empty());
    EXPECT_EQ(weights_in(state, "p"), (weights{{"b0", 5}}));
    EXPECT_EQ(weights_in(state, "q"), weights());
    state.set_lost_places({place_id("p")});
    EXPECT_EQ(weights_in(state, "p"), weights());
}

TEST(balancer_weight, a_listed_balancer_changes_the_views)
{
    internal::subscribed_state state;
    state.take_service(declared_service(), false, 1, 1);
    state.put_in_force(1);
    state.take_changed();
    const upstream_record record = balancer("b0", "p", 5, "10.0.0.1:1");
    state.take_record(time_point(), record, false, 1, 1);
    EXPECT_EQ(state.take_changed(), (std::set<service_id>{service_id(1)}));
    EXPECT_EQ(state.view(service_id(1))->balancers,
              (std::vector<endpoint>{record.agent}));
}

} // namespace crowlink::test
