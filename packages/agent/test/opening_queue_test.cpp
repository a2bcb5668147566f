#include "agent_fixture.hpp"
#include "crowlink/agent/opening_queue.hpp"

#include <gtest/gtest.h>

namespace crowlink::test
{

namespace
{

using internal::cold_start_limiter;
using internal::completion_estimate;
using internal::held_opening;
using internal::hold_outcome;
using internal::opening_deadline;
using internal::opening_queue;
using std::chrono::milliseconds;

constexpr time_point start{std::chrono::hours(1)};

held_opening make(std::uint16_t number, std::uint32_t priority,
                  std::size_t host = 0, std::size_t bytes = 20)
{
    const route_terms terms{request_class::safe, milliseconds(1500),
                            milliseconds(300), priority};
    held_opening made;
    made.header.flow = agent_fixture::flow(number);
    made.header.return_to = agent_fixture::address(100 + host);
    made.payload.resize(bytes);
    made.priority = priority;
    made.aim = terms.aim;
    made.deadline = opening_deadline::of(start, terms, 0);
    made.since = start;
    return made;
}

// The numbers of the flows in the order of their starts.
std::vector<int> starts(opening_queue& queue)
{
    const cold_start_limiter cold;
    const completion_estimate fast(start, cold, 0, 1000, milliseconds(1));
    std::vector<int> order;
    while (!queue.empty())
    {
        const flow_key next =
            queue.plan(start, fast).front().opening->header.flow;
        order.push_back(next.caller.port);
        (void)queue.start(next);
    }
    return order;
}

} // namespace

TEST(opening_deadline, subtracts_what_the_caller_has_waited)
{
    const route_terms terms{request_class::safe, milliseconds(1500),
                            milliseconds(300), 0};
    const auto first = opening_deadline::of(start, terms, 0);
    EXPECT_EQ(first.aim - start, milliseconds(280));
    EXPECT_EQ(first.entry - start, milliseconds(150));
    EXPECT_EQ(first.last - start, milliseconds(1380));
    const auto second = opening_deadline::of(start, terms, 1);
    EXPECT_EQ(second.aim - start, milliseconds(80));
    EXPECT_EQ(second.entry - start, milliseconds(80));
    const auto third = opening_deadline::of(start, terms, 2);
    EXPECT_EQ(third.aim - start, milliseconds(-320));
    EXPECT_EQ(third.last - start, milliseconds(780));
}

TEST(completion_estimate, counts_what_is_ahead_over_the_slots)
{
    const cold_start_limiter cold;
    const completion_estimate busy(start, cold, 4, 2, milliseconds(30));
    EXPECT_EQ(busy.with_ahead(0), milliseconds(75));
    EXPECT_EQ(busy.with_ahead(3), milliseconds(120));
    const completion_estimate idle(start, cold, 0, 2, milliseconds(30));
    EXPECT_EQ(idle.with_ahead(0), milliseconds(30));
}

TEST(completion_estimate, waits_for_the_limit_of_a_cold_upstream)
{
    cold_start_limiter cold;
    cold.set_limit(2);
    cold.set_cold_until(start + std::chrono::seconds(60));
    cold.admitted(start - milliseconds(1000));
    cold.admitted(start - milliseconds(500));
    const completion_estimate limited(start, cold, 0, 2, milliseconds(30));
    EXPECT_EQ(limited.with_ahead(0), milliseconds(80));
    EXPECT_EQ(limited.with_ahead(1), milliseconds(580));
    EXPECT_EQ(limited.with_ahead(2), milliseconds(1130));
}

// Three of four starts go to the urgent level; the fourth prevents starvation.
TEST(opening_queue, serves_urgent_levels_first_and_starves_none)
{
    opening_queue queue;
    for (std::uint16_t i = 1; i <= 3; ++i)
    {
        queue.add(make(static_cast<std::uint16_t>(20 + i), 2));
    }
    for (std::uint16_t i = 1; i <= 6; ++i)
    {
        queue.add(make(static_cast<std::uint16_t>(10 + i), 1));
    }
    EXPECT_EQ(starts(queue),
              (std::vector<int>{11, 12, 13, 21, 14, 15, 16, 22, 23}));
}

// One data centre's surge must not delay the callers of others.
TEST(opening_queue, entry_hosts_take_turns)
{
    opening_queue queue;
    for (std::uint16_t i = 1; i <= 5; ++i)
    {
        queue.add(make(static_cast<std::uint16_t>(10 + i), 1, 1));
    }
    queue.add(make(21, 1, 2));
    queue.add(make(22, 1, 2));
    EXPECT_EQ(starts(queue), (std::vector<int>{11, 21, 12, 22, 13, 14, 15}));
}

// A host that was served alone before must not be treated as ahead forever.
TEST(opening_queue, earlier_starts_give_no_later_disadvantage)
{
    opening_queue queue;
    for (std::uint16_t i = 1; i <= 5; ++i)
    {
        queue.add(make(i, 1, 1));
    }
    (void)starts(queue);
    queue.add(make(11, 1, 1));
    queue.add(make(21, 1, 2));
    queue.add(make(12, 1, 1));
    queue.add(make(22, 1, 2));
    const std::vector<int> order = starts(queue);
    EXPECT_EQ(order, (std::vector<int>{21, 11, 22, 12}));
}

// A queue that grows with the load would outlive its callers.
TEST(opening_queue, holds_at_most_256_packets_and_64_kilobytes)
{
    const cold_start_limiter cold;
    const completion_estimate fast(start, cold, 0, 1000, milliseconds(1));
    opening_queue many;
    for (std::uint16_t i = 1; i <= 256; ++i)
    {
        EXPECT_EQ(many.plan_for(start, fast, make(i, 1)).outcome,
                  hold_outcome::in_time);
        many.add(make(i, 1));
    }
    EXPECT_EQ(many.plan_for(start, fast, make(300, 1)).outcome,
              hold_outcome::queue_full);
    // A more urgent one takes the place of the last.
    EXPECT_EQ(many.plan_for(start, fast, make(300, 0)).outcome,
              hold_outcome::in_time);
    many.add(make(300, 0));
    const auto plan = many.plan(start, fast);
    EXPECT_EQ(plan.back().outcome, hold_outcome::queue_full);
    EXPECT_EQ(plan.back().opening->header.flow, agent_fixture::flow(256));
    opening_queue large;
    for (std::uint16_t i = 1; i <= 64; ++i)
    {
        large.add(make(i, 1, 0, 1000));
    }
    EXPECT_EQ(large.plan_for(start, fast, make(99, 1, 0, 2000)).outcome,
              hold_outcome::queue_full);
    EXPECT_EQ(large.plan_for(start, fast, make(99, 1, 0, 1500)).outcome,
              hold_outcome::in_time);
}

// What is already late must not delay what can be in time.
TEST(opening_queue, late_packets_are_held_only_while_none_is_in_time)
{
    const cold_start_limiter cold;
    const completion_estimate slow(start, cold, 4, 2, milliseconds(110));
    opening_queue queue;
    EXPECT_EQ(queue.plan_for(start, slow, make(1, 1)).outcome,
              hold_outcome::late);
    const completion_estimate fast(start, cold, 4, 2, milliseconds(30));
    queue.add(make(2, 1));
    held_opening late = make(3, 0);
    late.deadline.aim = late.deadline.entry = start;
    EXPECT_EQ(queue.plan_for(start, fast, late).outcome,
              hold_outcome::too_late);
    EXPECT_EQ(opening_queue().plan_for(start, fast, late).outcome,
              hold_outcome::late);
}

} // namespace crowlink::test
