#include "fake_cluster.hpp"

namespace crowlink::test
{

namespace
{

constexpr std::size_t upstreams = 400;

void build(fake_cluster& cluster, std::size_t count = upstreams)
{
    service declared;
    declared.id = service_id(1);
    declared.name = "service";
    cluster.document.services.push_back(declared);
    cluster.add_control("c0", "p", "r");
    cluster.add_control("c1", "p", "r");
    cluster.start_controls();
    for (std::size_t index = 0; index < count; ++index)
    {
        cluster.add_upstream("u" + std::to_string(index), 1, "p", "r");
    }
    interest all;
    all.all_services = true;
    cluster.add_node("node", all, "r");
    cluster.run(std::chrono::seconds(40));
    ASSERT_EQ(cluster.difference(), "");
}

void change_all(fake_cluster& cluster, std::uint32_t weight)
{
    for (auto& each : cluster.announcers)
    {
        const host_id id("a-" + each.first.id.value());
        cluster.network.send(
            cluster.now, id,
            each.core->change(cluster.now, upstream_state::ready, weight));
    }
}

fake_network::filter away(const char* id)
{
    const host_id node(id);
    return [node](const host_id& from, const host_id& to,
                  const wire::membership_message&)
    {
        return from == node || to == node;
    };
}

} // namespace

TEST(distribution, sends_missed_changes_as_one_snapshot)
{
    fake_cluster cluster(1);
    build(cluster);
    const auto before = cluster.nodes[0].core->snapshots();
    cluster.network.drop = away("node");
    for (std::uint32_t round = 1; round <= 5; ++round)
    {
        change_all(cluster, 100 + round);
        cluster.run(std::chrono::seconds(10));
    }
    cluster.announcers[7].core.reset();
    cluster.run(std::chrono::seconds(30));
    std::size_t members = 0;
    cluster.network.drop = [&members](const host_id&, const host_id& to,
                                      const wire::membership_message& message)
    {
        members += to == host_id("node") && message.has_part()
                       ? static_cast<std::size_t>(message.part().members_size())
                       : 0;
        return false;
    };
    cluster.run(std::chrono::seconds(60));
    EXPECT_EQ(cluster.difference(), "");
    EXPECT_EQ(cluster.nodes[0].core->snapshots(), before + 1);
    // Each record is sent once, though it changed five times.
    EXPECT_EQ(members, upstreams);
}

TEST(distribution, snapshot_contains_only_differences)
{
    fake_cluster cluster(2);
    build(cluster);
    cluster.network.drop = away("node");
    cluster.run(std::chrono::seconds(31));
    cluster.announcers[7].core.reset();
    cluster.run(std::chrono::seconds(30));
    std::size_t members = 0;
    cluster.network.drop = [&members](const host_id&, const host_id& to,
                                      const wire::membership_message& message)
    {
        members += to == host_id("node") && message.has_part()
                       ? static_cast<std::size_t>(message.part().members_size())
                       : 0;
        return false;
    };
    cluster.run(std::chrono::seconds(40));
    EXPECT_EQ(cluster.difference(), "");
    EXPECT_LE(members, 10U);
}

// A burst of changes does not exceed the rate at a node, and a change of the
// document overtakes pending changes of members.
TEST(distribution, is_rate_limited_and_sends_document_changes_first)
{
    fake_cluster cluster(3);
    build(cluster);
    auto& node = *cluster.nodes[0].core;
    change_all(cluster, 200);
    cluster.run(std::chrono::seconds(1));
    const std::uint64_t before = node.bytes();
    const time_point began = cluster.now;
    cluster.document.services[0].limits.slots = 9;
    cluster.version = config_version(2);
    while (node.applied_version() != config_version(2))
    {
        ASSERT_LT(cluster.now - began, std::chrono::seconds(2));
        cluster.step();
    }
    std::size_t old = 0;
    const auto view = node.view(service_id(1));
    for (const auto& member : view->members)
    {
        old += member.weight == 100 ? 1 : 0;
    }
    EXPECT_GT(old, 0U);
    cluster.run(std::chrono::seconds(3));
    const std::chrono::duration<double> passed = cluster.now - began;
    const double bytes = static_cast<double>(node.bytes() - before);
    EXPECT_LT(bytes, 4096 * passed.count() + 1024 + 1024);
    EXPECT_LT(cluster.longest_message, 40000U);
}

// A node keeps its newer document when control hosts that restarted serve an
// older one. A node that restarts has none and takes the older one, until a
// control host has the newest.
TEST(distribution, recovers_from_restarts_of_control_hosts_and_nodes)
{
    fake_cluster cluster(4);
    build(cluster, 40);
    cluster.version = config_version(9);
    cluster.run(std::chrono::seconds(5));
    cluster.start_control(0);
    cluster.start_control(1);
    cluster.controls[0].lags = true;
    cluster.controls[1].lags = true;
    system_document old = cluster.document;
    old.services[0].limits.slots = 1;
    old.drains.emplace_back("u1");
    for (auto& each : cluster.controls)
    {
        each.core->document_changed(config_version(3), old);
    }
    cluster.run(std::chrono::seconds(60));
    auto& node = *cluster.nodes[0].core;
    EXPECT_EQ(node.applied_version(), config_version(9));
    EXPECT_EQ(node.view(service_id(1))->declared.limits.slots, 4U);
    EXPECT_EQ(cluster.difference(), "");
    cluster.start_node(0);
    cluster.run(std::chrono::seconds(20));
    EXPECT_EQ(cluster.nodes[0].core->applied_version(), config_version(3));
    cluster.controls[1].lags = false;
    cluster.run(std::chrono::seconds(60));
    cluster.controls[0].lags = false;
    cluster.run(std::chrono::seconds(60));
    EXPECT_EQ(cluster.difference(), "");
}

TEST(distribution, reports_the_age_of_an_unconfirmed_document)
{
    fake_cluster cluster(5);
    build(cluster, 4);
    for (auto& each : cluster.controls)
    {
        each.core->set_document_age(std::chrono::minutes(7));
    }
    cluster.run(std::chrono::seconds(6));
    EXPECT_GE(cluster.nodes[0].core->age(cluster.now).document,
              std::chrono::minutes(7));
}

namespace
{

struct only_service_two
{
    bool may_announce(const key_identity& /*key*/, service_id service) const
    {
        return service == service_id(2);
    }
};

} // namespace

TEST(announcement_filter, refuses_services_that_the_key_may_not_announce)
{
    const time_point now{std::chrono::hours(1)};
    observer_settings settings;
    settings.self.id = host_id("c");
    observer core(settings, now);
    announcement_filter<only_service_two> gate{only_service_two{}};
    for (const std::uint32_t service : {1U, 2U})
    {
        upstream_record record;
        record.id = upstream_id("u");
        record.service = service_id(service);
        announcer sender({{settings.self}, {}}, record, 1, now);
        const auto sends = sender.change(now, upstream_state::ready, 100);
        const auto out = gate.handle(core, now, host_id("a"),
                                     key_identity("key"), sends.at(0).message);
        sender.handle(now, host_id("c"), out.sends.at(0).message);
        EXPECT_EQ(sender.forbidden(), service == 1);
        EXPECT_EQ(sender.accepted(), service == 2);
    }
    EXPECT_EQ(gate.refused(), 1U);
    EXPECT_EQ(core.living(), 1U);
}

TEST(observer, ignores_unknown_peers_and_malformed_records)
{
    const time_point now{std::chrono::hours(1)};
    observer_settings settings;
    settings.self.id = host_id("c");
    observer core(settings, now);
    wire::membership_message in;
    auto& record = *in.mutable_announce()->mutable_record();
    record.set_id("u");
    record.set_address("xyz");
    EXPECT_TRUE(core.handle(now, host_id("a"), in).sends.empty());
    in.mutable_changes()->add_members();
    EXPECT_TRUE(core.handle(now, host_id("a"), in).records.empty());
    EXPECT_EQ(core.living(), 0U);
    EXPECT_EQ(core.counters().counter("membership_malformed_total"), 1U);
    EXPECT_EQ(core.counters().counter("membership_strangers_total"), 1U);
}

} // namespace crowlink::test
