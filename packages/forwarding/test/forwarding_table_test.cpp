#include "crowlink/forwarding/forwarding_table.hpp"

#include "sample_views.hpp"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>
#include <xxhash.h>

namespace crowlink
{
namespace
{

constexpr std::uint64_t seed = 20261202;

using hashes = std::vector<std::uint64_t>;

hashes flow_hashes(std::size_t count)
{
    std::mt19937_64 random(seed);
    hashes values(count);
    std::generate(values.begin(), values.end(), std::ref(random));
    return values;
}

// The reference implementation: scores all members and sorts them.
std::vector<endpoint> reference_chain(const service_view& view,
                                      std::uint64_t hash)
{
    std::vector<std::pair<double, endpoint>> scored;
    for (const upstream_record& member : view.members)
    {
        if (member.state != upstream_state::ready)
        {
            continue;
        }
        const std::uint64_t random_bits = XXH3_64bits_withSeed(
            &hash, sizeof hash, stable_hash(member.id.value()));
        const double uniform =
            static_cast<double>((random_bits >> 11U) + 1) * 0x1p-53;
        scored.emplace_back(-std::log(uniform) / member.weight, member.agent);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<endpoint> chain;
    for (const auto& [cost, agent] : scored)
    {
        if (chain.size() < view.declared.sharing.candidates)
        {
            chain.push_back(agent);
        }
    }
    return chain;
}

std::vector<endpoint> agents(const candidate_chain& chain)
{
    std::vector<endpoint> found;
    for (const candidate& next : chain)
    {
        found.push_back(next.agent);
    }
    return found;
}

TEST(forwarding_table, chains_equal_those_of_the_reference_implementation)
{
    std::mt19937_64 random(seed);
    for (const std::uint32_t members : {0U, 1U, 2U, 3U, 7U, 64U, 500U})
    {
        for (const bool weighted : {false, true})
        {
            service_view view = sample::view(1, members);
            view.declared.sharing.candidates = 1 + members % 4;
            for (upstream_record& member : view.members)
            {
                member.weight = weighted ? 1 + random() % 1000 : 100;
                member.state = random() % 5 == 0 ? upstream_state::draining
                                                 : upstream_state::ready;
            }
            const auto table = forwarding_table::build(view);
            for (const std::uint64_t hash : flow_hashes(200))
            {
                ASSERT_EQ(agents(table->chain(hash)),
                          reference_chain(view, hash));
            }
        }
    }
}

TEST(forwarding_table, distributes_flows_by_weight)
{
    service_view view = sample::view(1, 4);
    const std::array<std::uint32_t, 4> weights{100, 200, 300, 1000};
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        view.members[i].weight = weights[i];
    }
    const auto table = forwarding_table::build(view);
    std::map<endpoint, double> share;
    const hashes flows = flow_hashes(200000);
    for (const std::uint64_t hash : flows)
    {
        share[table->chain(hash)[0].agent] += 1.0 / flows.size();
    }
    for (const upstream_record& member : view.members)
    {
        // The tolerance of 0.006 exceeds five standard deviations of a share.
        EXPECT_NEAR(share[member.agent], member.weight / 1600.0, 0.006);
    }
}

TEST(forwarding_table, chains_hold_distinct_members)
{
    service_view view = sample::view(1, 9);
    view.declared.sharing.candidates = 4;
    const auto table = forwarding_table::build(view);
    for (const std::uint64_t hash : flow_hashes(2000))
    {
        const auto found = agents(table->chain(hash));
        ASSERT_EQ(std::set<endpoint>(found.begin(), found.end()).size(), 4U);
    }
}

TEST(forwarding_table, a_changed_member_moves_only_its_own_flows)
{
    const service_view full = sample::view(1, 20);
    service_view without = full;
    const endpoint changed = full.members[7].agent;
    without.members.erase(without.members.begin() + 7);
    service_view heavier = full;
    heavier.members[7].weight = 250;
    const auto before = forwarding_table::build(full);
    const auto after = forwarding_table::build(without);
    const auto weighted = forwarding_table::build(heavier);
    std::size_t moved = 0;
    for (const std::uint64_t hash : flow_hashes(20000))
    {
        const endpoint old = before->chain(hash)[0].agent;
        const endpoint next = weighted->chain(hash)[0].agent;
        // Flows move only to the member whose weight increased.
        ASSERT_TRUE(next == old || next == changed);
        if (old == changed)
        {
            ++moved;
            ASSERT_EQ(after->chain(hash)[0], before->chain(hash)[1]);
            continue;
        }
        ASSERT_EQ(after->chain(hash)[0].agent, old);
    }
    EXPECT_GT(moved, 500U);
}

TEST(forwarding_table, the_digest_differs_for_different_contents)
{
    const service_view view = sample::view(1, 3);
    std::vector<service_view> others(5, view);
    others[0].members[0].weight = 99;
    others[1].members[0].started = incarnation(2);
    others[2].members[0].agent = sample::agent_of(99);
    others[3].members[0].state = upstream_state::draining;
    others[4].declared.sharing.candidates = 2;
    std::set<std::uint64_t> digests{forwarding_table::build(view)->digest()};
    for (const service_view& other : others)
    {
        digests.insert(forwarding_table::build(other)->digest());
    }
    EXPECT_EQ(digests.size(), 6U);
    service_view renewed = view;
    renewed.version = config_version(9);
    renewed.members[0].sequence = 9;
    EXPECT_EQ(digests.count(forwarding_table::build(renewed)->digest()), 1U);
}

TEST(forwarding_table, a_new_incarnation_keeps_its_flows_and_changes_its_tag)
{
    const service_view view = sample::view(1, 5);
    service_view restarted = view;
    restarted.members[2].started = incarnation(2);
    const auto before = forwarding_table::build(view);
    const auto after = forwarding_table::build(restarted);
    for (const std::uint64_t hash : flow_hashes(500))
    {
        const candidate old = before->chain(hash)[0];
        const candidate next = after->chain(hash)[0];
        ASSERT_EQ(old.agent, next.agent);
        ASSERT_EQ(old.tag == next.tag, old.agent != view.members[2].agent);
    }
}

} // namespace
} // namespace crowlink
