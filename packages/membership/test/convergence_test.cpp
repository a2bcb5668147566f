#include "fake_cluster.hpp"

#include <rapidcheck.h>

#include <cstdlib>

namespace crowlink::test
{

namespace
{

// A fixed seed, so that every run draws the same cases.
const int fixed_seed =
    setenv("RC_PARAMS", "seed=20261202 max_success=15 max_size=40", 0);

constexpr std::size_t upstream_count = 24;

struct action
{
    int kind = 0;
    std::size_t target = 0;
    int tenths = 0;
};

void showValue(const action& value, std::ostream& out) // NOLINT
{
    out << "{" << value.kind << "," << value.target << "," << value.tenths
        << "}";
}

service declare(std::uint32_t id, std::uint32_t slots)
{
    service out;
    out.id = service_id(id);
    out.name = "service-" + std::to_string(id);
    out.limits.slots = slots;
    out.addresses.push_back(endpoint::parse("198.51.100.1:80").value());
    return out;
}

void build(fake_cluster& cluster)
{
    for (int index = 0; index < 6; ++index)
    {
        const std::string region = index < 3 ? "north" : "south";
        cluster.add_control("c" + std::to_string(index),
                            "p" + std::to_string(index % 4), region);
    }
    cluster.start_controls();
    for (std::size_t index = 0; index < upstream_count; ++index)
    {
        const std::string region = index % 2 == 0 ? "north" : "south";
        cluster.add_upstream("u" + std::to_string(index),
                             static_cast<std::uint32_t>(index % 3 + 1),
                             "p" + std::to_string(index % 4), region);
    }
    cluster.add_balancer("b0", "p0", "north");
    cluster.add_balancer("b1", "p1", "south");
    for (std::uint32_t id = 1; id <= 3; ++id)
    {
        cluster.document.services.push_back(declare(id, 4));
    }
    interest all;
    all.all_services = true;
    interest own;
    own.services = {service_id(2)};
    own.balancers_in = {place_id("p0")};
    cluster.add_node("n0", all, "north");
    cluster.add_node("n1", all, "south");
    cluster.add_node("n2", own, "north");
    cluster.add_node("n3", own, "south");
    interest entry;
    entry.all_services = true;
    entry.unlisted_balancers_in = {place_id("p0")};
    cluster.add_node("n4", entry, "north");
}

void change_document(fake_cluster& cluster, const action& what)
{
    auto& document = cluster.document;
    const upstream_id upstream("u" +
                               std::to_string(what.target % upstream_count));
    const auto drained =
        std::find(document.drains.begin(), document.drains.end(), upstream);
    const bool last = document.services.back().id == service_id(9);
    switch (what.target % 4)
    {
    case 0:
        document.services[what.target % 3].limits.slots +=
            static_cast<std::uint32_t>(what.tenths % 3);
        break;
    case 1:
        last ? document.services.pop_back()
             : document.services.push_back(declare(9, 1));
        break;
    default:
        if (drained == document.drains.end())
        {
            document.drains.push_back(upstream);
        }
        else
        {
            document.drains.erase(drained);
        }
    }
    cluster.version = config_version(cluster.version.value() + 1);
}

void cut(fake_cluster& cluster, const action& what)
{
    const std::size_t mode = what.target % 4;
    const host_id one("c" + std::to_string(what.target % 6));
    std::set<host_id> south;
    for (const auto& each : cluster.controls)
    {
        if (each.info.region == region_id("south"))
        {
            south.insert(each.info.id);
        }
    }
    cluster.network.drop = [mode, one, south](const host_id& from,
                                              const host_id& to,
                                              const wire::membership_message&)
    {
        const bool across = south.count(from) != south.count(to);
        const bool out = from == one;
        const bool both = out || to == one;
        const bool of_node = from.value()[0] == 'n' || to.value()[0] == 'n';
        // In the last mode only the nodes hear the host, so it serves old
        // state.
        const bool modes[] = {across, out, both, both && !of_node};
        return modes[mode];
    };
}

void apply(fake_cluster& cluster, const action& what)
{
    auto& control = cluster.controls[what.target % cluster.controls.size()];
    auto& upstream = cluster.announcers[what.target % upstream_count];
    const std::size_t node = what.target % cluster.nodes.size();
    switch (what.kind)
    {
    case 0:
        change_document(cluster, what);
        break;
    case 1:
        control.core.reset();
        break;
    case 2:
        cluster.start_control(what.target % cluster.controls.size());
        break;
    case 3:
        upstream.core.reset();
        break;
    case 4:
        cluster.start_announcer(what.target % upstream_count);
        break;
    case 5:
        cluster.start_node(node);
        break;
    case 6:
        cut(cluster, what);
        break;
    case 7:
        cluster.network.drop = nullptr;
        break;
    case 8:
        cluster.network.loss = what.tenths % 30;
        cluster.network.duplication = what.tenths % 20;
        cluster.network.reorder = std::chrono::milliseconds(what.tenths * 5);
        break;
    case 9:
        control.lags = !control.lags;
        break;
    default:
        if (upstream.core)
        {
            cluster.network.send(
                cluster.now, host_id("a-" + upstream.first.id.value()),
                upstream.core->change(cluster.now,
                                      what.tenths % 2 == 0
                                          ? upstream_state::draining
                                          : upstream_state::ready,
                                      100));
        }
    }
    cluster.run(std::chrono::milliseconds(what.tenths * 100));
}

void heal(fake_cluster& cluster)
{
    cluster.network.drop = nullptr;
    cluster.network.loss = 0;
    cluster.network.duplication = 0;
    cluster.network.reorder = duration(0);
    for (std::size_t index = 0; index < cluster.controls.size(); ++index)
    {
        cluster.controls[index].lags = false;
        if (!cluster.controls[index].core)
        {
            cluster.start_control(index);
        }
    }
}

rc::Gen<std::vector<action>> actions()
{
    return rc::gen::container<std::vector<action>>(rc::gen::build<action>(
        rc::gen::set(&action::kind, rc::gen::inRange(0, 12)),
        rc::gen::set(&action::target, rc::gen::inRange<std::size_t>(0, 1000)),
        rc::gen::set(&action::tenths, rc::gen::inRange(0, 150))));
}

} // namespace

// After arbitrary faults followed by a fault-free period, every node equals the
// independently computed state. At no step in between does a version decrease
// at any node.
// Each part maps the drawn faults to different ones and runs 15 cases, to stay
// within the time limit of a test under sanitizers.
class convergence_part : public ::testing::TestWithParam<int>
{
};

TEST_P(convergence_part, nodes_converge_after_arbitrary_faults)
{
    ASSERT_EQ(fixed_seed, 0);
    const int part = GetParam();
    const bool held = rc::check(
        [part](std::uint16_t seed)
        {
            auto faults = *actions();
            for (action& each : faults)
            {
                each.kind = (each.kind + part) % 12;
            }
            fake_cluster cluster(seed + static_cast<std::uint64_t>(part));
            build(cluster);
            cluster.run(std::chrono::seconds(15));
            for (const action& each : faults)
            {
                apply(cluster, each);
                RC_ASSERT(!::testing::Test::HasFatalFailure());
            }
            heal(cluster);
            cluster.run(std::chrono::seconds(150));
            RC_ASSERT(!::testing::Test::HasFatalFailure());
            RC_ASSERT(cluster.difference() == std::string());
        });
    EXPECT_TRUE(held);
}

INSTANTIATE_TEST_SUITE_P(parts, convergence_part, ::testing::Range(0, 10));

// Without digests the loss of the last message is never repaired. Shows that
// the property above detects this.
TEST(convergence, requires_digests)
{
    for (const bool with_digests : {true, false})
    {
        fake_cluster cluster(5);
        cluster.subscribing.silence_timeout = std::chrono::hours(1);
        build(cluster);
        cluster.run(std::chrono::seconds(30));
        ASSERT_EQ(cluster.difference(), "");
        cluster.document.services[0].limits.slots = 99;
        cluster.version = config_version(2);
        cluster.network.drop = [](const host_id&, const host_id& to,
                                  const wire::membership_message& message)
        {
            return to == host_id("n0") && message.has_part();
        };
        cluster.run(std::chrono::seconds(2));
        cluster.network.drop =
            [with_digests](const host_id&, const host_id&,
                           const wire::membership_message& message)
        {
            return !with_digests && (message.has_idle() || message.has_alive());
        };
        cluster.run(std::chrono::seconds(20));
        EXPECT_EQ(cluster.difference().empty(), with_digests);
    }
}

} // namespace crowlink::test
