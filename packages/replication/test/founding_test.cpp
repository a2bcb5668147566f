#include "scenario.hpp"

#include "crowlink/replication/founding_acceptor.hpp"
#include "crowlink/replication/founding_proposer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

// The first start of all hosts, where the settings name seeds that may have no
// disk.
namespace crowlink::replication
{

namespace
{

constexpr std::size_t steps_a_second = 100;
// The users' platform wants its first configuration taken within 5 s.
constexpr std::size_t gate_steps = 4 * steps_a_second;

bool has_committed(const fake_cluster& cluster)
{
    const auto leader = cluster.leader();
    return leader && cluster.status(*leader).commit > 1;
}

// All ways to choose three of six hosts.
std::vector<std::vector<std::size_t>> triples()
{
    std::vector<std::vector<std::size_t>> out;
    for (std::size_t one = 0; one < 6; ++one)
    {
        for (std::size_t two = one + 1; two < 6; ++two)
        {
            for (std::size_t three = two + 1; three < 6; ++three)
            {
                out.push_back({one, two, three});
            }
        }
    }
    return out;
}

cluster_rules rules_of(const std::vector<std::size_t>& seeds,
                       std::set<std::size_t> relays)
{
    cluster_rules rules;
    rules.admit_observers = true;
    rules.voters.emplace();
    rules.seeds = seeds;
    rules.relays = std::move(relays);
    return rules;
}

// Guards against a deployment that never starts since a seed has no disk: the
// voters were the seeds, whether they can hold a log or not.
TEST(first_start, founds_a_log_whichever_hosts_the_seeds_are)
{
    std::uint64_t seed = 0;
    for (const auto& seeds : triples())
    {
        fake_cluster cluster(3, 3, ++seed, rules_of(seeds, {1, 3, 5}));
        EXPECT_TRUE(cluster.run_until([&] { return has_committed(cluster); },
                                      gate_steps))
            << "seeds " << seeds[0] << seeds[1] << seeds[2];
        make_versions(cluster, 3, "a");
        EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 3); }));
        EXPECT_EQ(cluster.violation(), "");
    }
}

// Guards against voters that happen to be heard first: the seeds are spread
// over the deployment.
TEST(first_start, makes_the_seeds_voters_where_all_have_a_disk)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        cluster_rules rules = rules_of({1, 3, 5}, {});
        rules.voters.reset();
        fake_cluster cluster(3, 3, seed, rules);
        const std::size_t leader = wait_for_leader(cluster);
        for (const member_status& one : cluster.status(leader).members)
        {
            const std::size_t host = fake_cluster::index_of(one.who.host);
            EXPECT_EQ(one.who.role == member_role::voter, host % 2 == 1)
                << "seed " << seed;
        }
    }
}

// Guards against a deployment that waits for more hosts with a disk than it
// has.
TEST(first_start, founds_a_log_with_fewer_disks_than_are_wanted)
{
    fake_cluster cluster(3, 3, 1, rules_of({0, 1, 2}, {1, 2, 3, 4, 5}));
    EXPECT_TRUE(cluster.run_until([&] { return has_committed(cluster); },
                                  30 * steps_a_second));
}

// Guards against two logs: hosts and seeds restart and messages are lost while
// the voters are chosen. One seed keeps what it accepted.
TEST(first_start, founds_one_log_under_faults)
{
    for (std::uint64_t seed = 1; seed <= 200 && !HasFailure(); ++seed)
    {
        seeded_random random(seed);
        const auto all = triples();
        const auto& seeds = all[random() % all.size()];
        fake_cluster cluster(3, 3, seed, rules_of(seeds, {1, 3, 5}));
        cluster.set_message_faults(random() % 40, random() % 20);
        const std::size_t spared = seeds[random() % seeds.size()];
        for (int fault = 0; fault < 12; ++fault)
        {
            cluster.run(random() % 60);
            const std::size_t host = random() % 6;
            if (random() % 3 == 0)
            {
                cluster.isolate(host);
            }
            else if (host != spared)
            {
                cluster.crash(host);
            }
            cluster.run(random() % 60);
            cluster.heal();
            if (host != spared)
            {
                cluster.restart(host);
            }
        }
        cluster.set_message_faults(0, 0);
        for (std::size_t host = 0; host < 6; ++host)
        {
            cluster.restart(host);
        }
        EXPECT_TRUE(cluster.run_until([&] { return has_committed(cluster); },
                                      60 * steps_a_second))
            << "seed " << seed;
        make_versions(cluster, 2, "a");
        const std::uint64_t version = cluster.version(wait_for_leader(cluster));
        EXPECT_TRUE(
            cluster.run_until([&] { return all_applied(cluster, version); }))
            << "seed " << seed;
        EXPECT_EQ(cluster.violation(), "") << "seed " << seed;
    }
}

// Guards against a second log of hosts that have not heard of the first one.
TEST(first_start, a_host_that_lost_its_disk_founds_no_other_log)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        fake_cluster cluster(3, 3, seed, rules_of({0, 1, 3}, {1, 3, 5}));
        make_versions(cluster, 2, "a");
        cluster.crash(0);
        cluster.run(steps_a_second);
        cluster.lose_disk(0);
        cluster.restart(0);
        make_versions(cluster, 2, "b");
        EXPECT_TRUE(cluster.run_until([&] { return all_applied(cluster, 4); }))
            << "seed " << seed;
        EXPECT_EQ(cluster.violation(), "");
    }
}

// Proposers and seeds with a network that loses, repeats and reorders.
class founding_play
{
public:
    founding_play(std::uint64_t seed, bool spares_a_seed)
        : m_random(seed), m_spares_a_seed(spares_a_seed)
    {
        for (std::size_t at = 0; at < count; ++at)
        {
            m_settings.seeds.push_back(seed_name(at));
            m_hosts.emplace_back("h" + std::to_string(at));
            restart_proposer(at);
        }
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step)
        {
            m_now += std::chrono::milliseconds(50);
            restart_some();
            for (std::size_t at = 0; at < count; ++at)
            {
                propose(at);
            }
            deliver();
        }
    }

    // The different memberships that were decided.
    const std::set<membership>& decided() const { return m_decided; }

private:
    static constexpr std::size_t count = 3;

    struct sent
    {
        std::size_t proposer = 0;
        std::size_t seed = 0;
        founding_request request;
    };

    static host_id seed_name(std::size_t at)
    {
        return host_id("s" + std::to_string(at));
    }

    void restart_proposer(std::size_t at)
    {
        m_proposers.insert_or_assign(
            at, founding_proposer(m_settings, m_hosts[at], m_random(), m_now));
    }

    void restart_some()
    {
        if (m_random() % 40 == 0)
        {
            restart_proposer(m_random() % count);
        }
        const std::size_t seed = m_random() % count;
        if (m_random() % 40 == 0 && !(m_spares_a_seed && seed == 0))
        {
            m_acceptors[seed] = founding_acceptor();
        }
    }

    // Each proposer knows other candidates, and so proposes other voters.
    void propose(std::size_t at)
    {
        std::vector<member> candidates;
        for (std::size_t other = 0; other < count; ++other)
        {
            candidates.push_back(member{m_hosts[other],
                                        disk_id(1 + 10 * at + other),
                                        member_role::voter});
        }
        founding_proposer& from = m_proposers.at(at);
        const auto request = from.tick(m_now, candidates);
        for (std::size_t seed = 0; request && seed < count; ++seed)
        {
            m_network.push_back(sent{at, seed, *request});
        }
        if (from.decided())
        {
            m_decided.insert(*from.decided());
        }
    }

    void deliver()
    {
        std::shuffle(m_network.begin(), m_network.end(), m_random);
        for (std::size_t left = m_network.size(); left > 0; --left)
        {
            const sent next = m_network.front();
            m_network.pop_front();
            const auto chance = m_random() % 10;
            if (chance < 4)
            {
                m_network.push_back(next);
            }
            if (chance < 3 || chance > 7)
            {
                continue;
            }
            m_proposers.at(next.proposer)
                .take(m_now, seed_name(next.seed),
                      m_acceptors[next.seed].handle(next.request));
        }
    }

    seeded_random m_random;
    bool m_spares_a_seed;
    founding_settings m_settings;
    time_point m_now{std::chrono::hours(1)};
    std::vector<host_id> m_hosts;
    std::map<std::size_t, founding_proposer> m_proposers;
    std::array<founding_acceptor, count> m_acceptors;
    std::deque<sent> m_network;
    std::set<membership> m_decided;
};

// Guards against two sets of voters, each of which would found a log.
TEST(founding, decides_the_same_voters_for_all_proposers)
{
    std::size_t plays = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        founding_play play(seed, true);
        play.run(300);
        EXPECT_LE(play.decided().size(), 1U) << "seed " << seed;
        plays += play.decided().size();
    }
    EXPECT_GT(plays, 250U);
}

// Shows that the play above finds two decisions where no seed remembers.
TEST(founding, needs_a_seed_that_remembers)
{
    std::size_t most = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        founding_play play(seed, false);
        play.run(300);
        most = std::max(most, play.decided().size());
    }
    EXPECT_GT(most, 1U);
}

} // namespace

} // namespace crowlink::replication
