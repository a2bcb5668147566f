#include "fake_cluster.hpp"

#include <algorithm>

namespace crowlink::test
{

namespace
{

constexpr std::size_t many = 120;

service declared_service()
{
    service out;
    out.id = service_id(1);
    out.name = "service";
    return out;
}

// Six control hosts in two regions of three data centres each, and many
// upstreams.
void build(fake_cluster& cluster, std::size_t upstreams = many)
{
    cluster.publishing.bytes_per_second = 20000;
    cluster.document.services.push_back(declared_service());
    for (const char* region : {"north", "south"})
    {
        for (const char* number : {"1", "2", "3"})
        {
            const std::string id = std::string(region) + number;
            cluster.add_control(id, id, region);
        }
    }
    cluster.start_controls();
    for (std::size_t index = 0; index < upstreams; ++index)
    {
        const std::string region = index % 2 == 0 ? "north" : "south";
        const std::string place = region + std::to_string(index / 2 % 3 + 1);
        cluster.add_upstream("u" + std::to_string(index), 1, place, region);
    }
    interest all;
    all.all_services = true;
    cluster.add_node("node-north", all, "north");
    cluster.add_node("node-south", all, "south");
    cluster.run(std::chrono::seconds(30));
    ASSERT_EQ(cluster.difference(), "");
}

std::size_t members(const fake_cluster& cluster, std::size_t node)
{
    const auto view = cluster.nodes[node].core->view(service_id(1));
    return view ? fake_cluster::members(*view).size() : 0;
}

// Runs for the given time; returns the fewest members that any node saw.
std::size_t fewest_members(fake_cluster& cluster, duration time)
{
    std::size_t least = many;
    const time_point end = cluster.now + time;
    while (cluster.now < end)
    {
        cluster.step();
        least = std::min({least, members(cluster, 0), members(cluster, 1)});
    }
    return least;
}

fake_network::filter cut_regions()
{
    const auto south = [](const host_id& id)
    {
        const std::string& name = id.value();
        const bool odd =
            name.rfind("a-u", 0) == 0 && std::stoi(name.substr(3)) % 2 == 1;
        return odd || name.find("south") != std::string::npos;
    };
    return [south](const host_id& from, const host_id& to,
                   const wire::membership_message&)
    {
        return south(from) != south(to);
    };
}

std::size_t expired(const fake_cluster& cluster)
{
    std::size_t out = 0;
    for (const auto& each : cluster.controls)
    {
        out += each.core ? each.core->observing().counters().counter(
                               "membership_expired_total")
                         : 0;
    }
    return out;
}

} // namespace

TEST(failure, failed_observer_causes_no_expiry)
{
    fake_cluster cluster(1);
    build(cluster);
    cluster.controls[0].core.reset();
    EXPECT_EQ(fewest_members(cluster, std::chrono::seconds(90)), many);
    EXPECT_EQ(expired(cluster), 0U);
    EXPECT_EQ(cluster.difference(), "");
}

TEST(failure, records_without_a_new_home_expire_after_the_orphan_grace)
{
    fake_cluster cluster(2);
    build(cluster);
    const host_id dead = cluster.controls[0].info.id;
    cluster.controls[0].core.reset();
    std::size_t lost = 0;
    for (auto& each : cluster.announcers)
    {
        if (each.core->home() == dead && lost < 3)
        {
            each.core.reset();
            ++lost;
        }
    }
    ASSERT_EQ(lost, 3U);
    EXPECT_EQ(fewest_members(cluster, std::chrono::seconds(15)), many);
    cluster.run(std::chrono::seconds(60));
    EXPECT_EQ(cluster.difference(), "");
}

TEST(failure, region_cut_off_for_an_hour_is_kept_and_its_age_reported)
{
    // Few upstreams, since an hour takes long under sanitizers.
    constexpr std::size_t few = 24;
    fake_cluster cluster(3);
    build(cluster, few);
    cluster.network.drop = cut_regions();
    EXPECT_EQ(fewest_members(cluster, std::chrono::hours(1)), few);
    EXPECT_EQ(expired(cluster), 0U);
    const auto age = cluster.nodes[0].core->age(cluster.now);
    ASSERT_EQ(age.regions.size(), 1U);
    EXPECT_EQ(age.regions[0].region, region_id("south"));
    EXPECT_GT(age.regions[0].age, std::chrono::minutes(59));

    cluster.announcers[1].core.reset();
    cluster.run(std::chrono::seconds(30));
    EXPECT_EQ(members(cluster, 1), few - 1);
    EXPECT_EQ(members(cluster, 0), few);
    cluster.network.drop = nullptr;
    cluster.run(std::chrono::seconds(10));
    EXPECT_EQ(cluster.difference(), "");
    EXPECT_TRUE(cluster.nodes[0].core->age(cluster.now).regions.empty());
}

class place_failure : public ::testing::TestWithParam<std::uint64_t>
{
};

TEST_P(place_failure, lost_data_centre_is_sent_as_one_message)
{
    fake_cluster cluster(GetParam());
    build(cluster);
    std::size_t gone = 0;
    std::size_t parts = 0;
    std::size_t place_parts = 0;
    cluster.network.drop = [&](const host_id&, const host_id& to,
                               const wire::membership_message& message)
    {
        if (to == host_id("node-south") && message.has_part())
        {
            ++parts;
            place_parts += message.part().lost_places_set() ? 1 : 0;
            gone += static_cast<std::size_t>(message.part().members_size());
        }
        return false;
    };
    const auto dead = [](const fake_cluster::announced& each)
    {
        return each.first.where == place_id("north1");
    };
    cluster.controls[0].core.reset();
    for (auto& each : cluster.announcers)
    {
        if (dead(each))
        {
            each.core.reset();
        }
    }
    cluster.run(std::chrono::seconds(15));
    EXPECT_EQ(members(cluster, 1), many - many / 6);
    EXPECT_EQ(place_parts, 1U);
    cluster.run(std::chrono::minutes(3));
    EXPECT_EQ(gone, 0U);
    EXPECT_EQ(parts, 1U);
    EXPECT_EQ(expired(cluster), 0U);
    EXPECT_EQ(cluster.difference(), "");
}

TEST_P(place_failure, returned_data_centre_is_sent_as_one_message)
{
    fake_cluster cluster(GetParam());
    build(cluster);
    std::set<host_id> inside;
    for (std::size_t index = 0; index < many; ++index)
    {
        const auto& each = cluster.announcers[index].first;
        if (each.where == place_id("north1"))
        {
            inside.insert(host_id("a-" + each.id.value()));
        }
    }
    std::size_t place_parts = 0;
    bool cut = true;
    cluster.network.drop = [&](const host_id& from, const host_id& to,
                               const wire::membership_message& message)
    {
        const bool counted = to == host_id("node-south") &&
                             message.has_part() &&
                             message.part().lost_places_set();
        place_parts += counted ? 1 : 0;
        return cut && inside.count(from) != inside.count(to);
    };
    cluster.run(std::chrono::seconds(30));
    EXPECT_EQ(members(cluster, 1), many - many / 6);
    cut = false;
    cluster.run(std::chrono::seconds(30));
    EXPECT_EQ(cluster.difference(), "");
    EXPECT_EQ(place_parts, 2U);
    EXPECT_EQ(expired(cluster), 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, place_failure,
                         ::testing::Range<std::uint64_t>(1, 21));

TEST(failure, single_control_host_cut_off_causes_no_expiry)
{
    fake_cluster cluster(6);
    build(cluster);
    // Only the nodes still hear the host.
    const host_id alone = cluster.nodes[0].core->source();
    cluster.network.drop = [alone](const host_id& from, const host_id& to,
                                   const wire::membership_message&)
    {
        const bool nodes = from.value().rfind("node", 0) == 0 ||
                           to.value().rfind("node", 0) == 0;
        return !nodes && (from == alone || to == alone);
    };
    EXPECT_EQ(fewest_members(cluster, std::chrono::minutes(5)), many);
    cluster.network.drop = nullptr;
    EXPECT_EQ(fewest_members(cluster, std::chrono::minutes(1)), many);
    EXPECT_EQ(cluster.difference(), "");
}

namespace
{

void build_with_one_control(fake_cluster& cluster)
{
    cluster.document.services.push_back(declared_service());
    cluster.add_control("c", "p", "r");
    cluster.start_controls();
    for (int index = 0; index < 10; ++index)
    {
        cluster.add_upstream("u" + std::to_string(index), 1, "p", "r");
    }
    interest all;
    all.all_services = true;
    cluster.add_node("node", all, "r");
    cluster.run(std::chrono::seconds(20));
    ASSERT_EQ(cluster.difference(), "");
}

} // namespace

TEST(failure, only_control_host_keeps_its_records_while_cut_off)
{
    fake_cluster cluster(7);
    build_with_one_control(cluster);
    cluster.network.drop =
        [](const host_id& from, const host_id&, const wire::membership_message&)
    {
        return from.value()[0] == 'a';
    };
    cluster.run(std::chrono::seconds(60));
    ASSERT_EQ(members(cluster, 0), 10U);
    cluster.network.drop = nullptr;
    for (int step = 0; step < 600; ++step)
    {
        cluster.step();
        ASSERT_EQ(members(cluster, 0), 10U);
    }
}

TEST(failure, only_control_host_expires_no_record_after_a_pause)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fake_cluster cluster(seed);
        build_with_one_control(cluster);
        cluster.controls[0].paused = true;
        cluster.run(std::chrono::seconds(60));
        cluster.controls[0].paused = false;
        cluster.run(std::chrono::seconds(60));
        EXPECT_EQ(expired(cluster), 0U) << seed;
        EXPECT_EQ(cluster.difference(), "") << seed;
    }
}

TEST(failure, observers_expire_no_record_after_a_pause)
{
    fake_cluster cluster(8);
    build(cluster);
    // No state machine runs for a minute, as after SIGSTOP.
    cluster.now += std::chrono::seconds(60);
    EXPECT_EQ(fewest_members(cluster, std::chrono::seconds(60)), many);
    EXPECT_EQ(expired(cluster), 0U);
}

// The time from a change of the document until every node has applied it.
duration time_to_apply(fake_cluster& cluster)
{
    constexpr duration limit = std::chrono::minutes(1);
    cluster.version = config_version(cluster.version.value() + 1);
    const time_point start = cluster.now;
    const auto applied = [&cluster](const fake_cluster::node& each)
    {
        return each.core->applied_version() == cluster.version;
    };
    while (cluster.now - start < limit &&
           !std::all_of(cluster.nodes.begin(), cluster.nodes.end(), applied))
    {
        cluster.step();
    }
    return cluster.now - start;
}

TEST(failure, document_change_is_applied_within_7_s_of_a_silent_publisher)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fake_cluster cluster(seed);
        build(cluster, 24);
        const host_id serving = cluster.nodes[0].core->source();
        for (auto& each : cluster.controls)
        {
            each.paused = each.info.id == serving;
        }
        EXPECT_LE(time_to_apply(cluster), std::chrono::seconds(7)) << seed;
        EXPECT_NE(cluster.nodes[0].core->source(), serving) << seed;
    }
}

} // namespace crowlink::test
