#include "fake_cluster.hpp"

// Agents and control hosts that are cut off in turn, while leases expire.

namespace crowlink::test
{

namespace
{

constexpr std::size_t upstream_count = 7;
// Few, so that several changes meet at one of them.
constexpr std::size_t cut_agents = 2;

using cut_pairs = std::set<std::pair<host_id, host_id>>;

class cut_off_agents
{
public:
    explicit cut_off_agents(std::uint64_t seed) : cluster(seed)
    {
        service declared;
        declared.id = service_id(1);
        declared.name = "service";
        cluster.document.services.push_back(declared);
        for (const char* host : {"c1", "c2", "c3"})
        {
            cluster.add_control(host, host, "north");
        }
        cluster.start_controls();
        for (std::size_t index = 0; index < upstream_count; ++index)
        {
            const std::string place = "c" + std::to_string(index % 3 + 1);
            cluster.add_upstream("u" + std::to_string(index), 1, place,
                                 "north");
        }
        interest all;
        all.all_services = true;
        for (const char* node : {"n1", "n2", "n3"})
        {
            cluster.add_node(node, all, "north");
        }
        cluster.network.drop = [this](const host_id& from, const host_id& to,
                                      const wire::membership_message&)
        {
            return m_cut.count({from, to}) != 0;
        };
        cluster.run(std::chrono::seconds(15));
    }

    // A change that is drawn, and some time after it.
    void change(seeded_random& random)
    {
        const host_id host = control(random());
        const host_id upstream = agent(random());
        switch (random() % 7)
        {
        case 0:
            cut_from_all(host);
            break;
        case 1:
            cut(host, control(random()));
            break;
        case 2:
            cut_from_all(upstream);
            break;
        case 3:
            // Reaches that host alone.
            cut_from_all(upstream);
            restore(upstream, host);
            break;
        case 4:
            cut(node(random()), host);
            break;
        case 5:
            cluster.start_control(random() % cluster.controls.size());
            break;
        default:
            m_cut.clear();
        }
        cluster.run(std::chrono::seconds(random() % 20));
    }

    void heal() { m_cut.clear(); }

    std::uint64_t reattachments() const
    {
        std::uint64_t sum = 0;
        for (const fake_cluster::node& each : cluster.nodes)
        {
            sum += each.core->reattachments();
        }
        return sum;
    }

    fake_cluster cluster;

private:
    static host_id control(std::uint64_t drawn)
    {
        return host_id("c" + std::to_string(drawn % 3 + 1));
    }

    static host_id node(std::uint64_t drawn)
    {
        return host_id("n" + std::to_string(drawn % 3 + 1));
    }

    static host_id agent(std::uint64_t drawn)
    {
        return host_id("a-u" + std::to_string(drawn % cut_agents));
    }

    void cut_from_all(const host_id& one)
    {
        for (const fake_cluster::control& each : cluster.controls)
        {
            cut(one, each.info.id);
        }
    }

    void restore(const host_id& one, const host_id& other)
    {
        m_cut.erase({one, other});
        m_cut.erase({other, one});
    }

    void cut(const host_id& one, const host_id& other)
    {
        m_cut.insert({one, other});
        m_cut.insert({other, one});
    }

    cut_pairs m_cut;
};

} // namespace

class cut_off_agents_part : public ::testing::TestWithParam<std::uint64_t>
{
};

// Once nothing changes, every node has the table of every control host, and
// asks none of them again and again for what it refuses.
TEST_P(cut_off_agents_part, nodes_converge_and_stay_attached)
{
    constexpr std::uint64_t histories = 100;
    for (std::uint64_t at = 0; at < histories; ++at)
    {
        const std::uint64_t seed = GetParam() * histories + at;
        seeded_random random(seed);
        cut_off_agents system(seed);
        for (std::uint64_t left = 4 + random() % 20; left > 0; --left)
        {
            system.change(random);
            ASSERT_FALSE(HasFatalFailure()) << "seed " << seed;
        }
        system.heal();
        system.cluster.run(std::chrono::seconds(60));
        ASSERT_EQ(system.cluster.difference(), "") << "seed " << seed;
        const std::uint64_t before = system.reattachments();
        system.cluster.run(std::chrono::seconds(30));
        ASSERT_EQ(system.reattachments(), before) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(parts, cut_off_agents_part,
                         ::testing::Range<std::uint64_t>(0, 8));

} // namespace crowlink::test
