#include "schedule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <ostream>

namespace crowlink::replication
{

// RapidCheck prints a counterexample with this.
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

// Read by RapidCheck when it checks its first property.
const bool fixed_seed =
    setenv("RC_PARAMS", "seed=20240607 max_size=100", 0) == 0;

rc::Gen<action> any_action()
{
    using enum action_kind;
    const auto kind = rc::gen::weightedElement<action_kind>({{20, run},
                                                             {4, run_long},
                                                             {12, propose},
                                                             {3, race},
                                                             {5, resend},
                                                             {4, take_order},
                                                             {4, send_order},
                                                             {6, give_order},
                                                             {3, crash},
                                                             {3, halt},
                                                             {8, restart},
                                                             {2, isolate},
                                                             {3, block},
                                                             {4, heal},
                                                             {2, disturb},
                                                             {2, lose_disk},
                                                             {3, slow_disk},
                                                             {6, admit},
                                                             {1, remove}});
    return rc::gen::build<action>(
        rc::gen::set(&action::kind, kind),
        rc::gen::set(&action::host, rc::gen::inRange(0U, 60U)),
        rc::gen::set(&action::amount, rc::gen::inRange(0U, 60U)));
}

void expect_whole(std::size_t voters, std::size_t spares)
{
    std::size_t acknowledged = 0;
    std::size_t orders = 0;
    const bool held =
        rc::check("a cluster keeps its promises whatever happens",
                  [&](std::uint64_t seed)
                  {
                      const auto actions =
                          *rc::gen::container<std::vector<action>>(
                              actions_of_a_case, any_action());
                      fake_cluster cluster(voters, spares, seed);
                      schedule happenings(cluster);
                      for (const action& one : actions)
                      {
                          happenings.perform(one);
                          RC_ASSERT(cluster.violation() == "");
                      }
                      RC_ASSERT(happenings.converge());
                      RC_ASSERT(cluster.violation() == "");
                      acknowledged += cluster.checker().applied_answers();
                      orders += cluster.checker().acknowledged_orders();
                  });
    EXPECT_TRUE(held);
    // The cases must not pass by doing nothing.
    EXPECT_GT(acknowledged, least_acknowledged);
    EXPECT_GT(orders, least_orders);
}

TEST(property, one_voter_keeps_its_promises)
{
    expect_whole(1, 1);
}

TEST(property, three_voters_keep_their_promises)
{
    expect_whole(3, 1);
}

TEST(property, five_voters_keep_their_promises)
{
    expect_whole(5, 1);
}

} // namespace

} // namespace crowlink::replication
