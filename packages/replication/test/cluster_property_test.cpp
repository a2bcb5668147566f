#include "schedule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <ostream>

namespace crowlink::replication
{

// RapidCheck prints counterexamples with this operator.
std::ostream& operator<<(std::ostream& out, const action& value)
{
    return out << "{" << static_cast<int>(value.kind) << ", " << value.host
               << ", " << value.amount << "}";
}

namespace
{

constexpr std::size_t actions_of_a_case = 120;
constexpr std::size_t least_acknowledged = 100;
constexpr std::size_t least_orders = 100;

// RapidCheck reads this variable when it checks its first property.
const bool fixed_seed =
    setenv("RC_PARAMS", "seed=20240607 max_size=100", 0) == 0;

rc::Gen<action> any_action()
{
    using enum action_kind;
    const auto kind =
        rc::gen::weightedElement<action_kind>({{20, run},
                                               {4, run_long},
                                               {12, propose},
                                               {3, race},
                                               {5, resend},
                                               {4, prepare_order},
                                               {4, propose_order},
                                               {6, issue_order},
                                               {3, crash},
                                               {3, halt},
                                               {8, restart},
                                               {2, isolate},
                                               {3, block},
                                               {4, heal},
                                               {2, set_message_faults},
                                               {2, lose_disk},
                                               {3, slow_disk},
                                               {6, admit},
                                               {1, remove}});
    return rc::gen::build<action>(
        rc::gen::set(&action::kind, kind),
        rc::gen::set(&action::host, rc::gen::inRange(0U, 60U)),
        rc::gen::set(&action::amount, rc::gen::inRange(0U, 60U)));
}

void expect_invariants(std::size_t voters, std::size_t spares)
{
    std::size_t acknowledged = 0;
    std::size_t orders = 0;
    const bool held =
        rc::check("a cluster keeps its invariants under any schedule",
                  [&](std::uint64_t seed)
                  {
                      const auto actions =
                          *rc::gen::container<std::vector<action>>(
                              actions_of_a_case, any_action());
                      fake_cluster cluster(voters, spares, seed);
                      schedule applied_schedule(cluster);
                      for (const action& one : actions)
                      {
                          applied_schedule.perform(one);
                          RC_ASSERT(cluster.violation() == "");
                      }
                      RC_ASSERT(applied_schedule.converge());
                      RC_ASSERT(cluster.violation() == "");
                      acknowledged += cluster.checker().applied_answers();
                      orders += cluster.checker().acknowledged_orders();
                  });
    EXPECT_TRUE(held);
    // Guards against cases that pass because nothing was acknowledged.
    EXPECT_GT(acknowledged, least_acknowledged);
    EXPECT_GT(orders, least_orders);
}

TEST(cluster_property, one_voter_keeps_the_invariants)
{
    expect_invariants(1, 1);
}

TEST(cluster_property, three_voters_keep_the_invariants)
{
    expect_invariants(3, 1);
}

TEST(cluster_property, five_voters_keep_the_invariants)
{
    expect_invariants(5, 1);
}

} // namespace

} // namespace crowlink::replication
