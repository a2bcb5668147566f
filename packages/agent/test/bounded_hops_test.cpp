#include "crowlink/base/random.hpp"
#include "searched_service.hpp"

#include <algorithm>
#include <gtest/gtest.h>

// With any redirects and any restarted agents, a packet is delivered, reset, or
// held until more is known, and does not loop.

namespace crowlink::test
{

namespace
{

constexpr std::size_t members = searched_service::members;
constexpr std::uint16_t flow_number = 9;

// All agents hold a redirect to an owner that has lost the flow.
TEST(packet_forwarding, redirects_to_an_owner_that_lost_the_flow_end_in_a_reset)
{
    for (std::size_t owner = 0; owner < members; ++owner)
    {
        searched_service service;
        for (std::size_t index = 0; index < members; ++index)
        {
            service.deliver_redirect(index, owner, flow_number);
        }
        service.send(flow_number);
        EXPECT_EQ(service.too_many_hops(), 0U) << owner;
        EXPECT_EQ(service.resets, 1U) << owner;
    }
}

// Draws the redirects that agents hold, the agents that restarted, and whether
// an upstream holds the flow.
void randomize_history(searched_service& service, std::size_t count,
                       seeded_random& random)
{
    if (random() % 2 == 0)
    {
        service.hold(random() % count, flow_number);
    }
    for (std::size_t index = 0; index < count; ++index)
    {
        if (random() % 2 == 0)
        {
            service.restart(index, true, random() % 2 == 0);
        }
    }
    const std::size_t told = random() % (2 * members);
    for (std::size_t each = 0; each < told; ++each)
    {
        service.deliver_redirect(random() % count, random() % count,
                                 flow_number);
    }
}

TEST(packet_forwarding, hops_are_bounded_for_any_redirects_and_restarts)
{
    // A walk over two chains, detours by stale redirects, and a search.
    constexpr std::size_t max_forwards = 60;
    constexpr std::uint64_t meshes = 10000;
    for (std::uint64_t seed = 0; seed < meshes; ++seed)
    {
        seeded_random random(seed);
        searched_service service(std::chrono::seconds(20));
        randomize_history(service, members, random);
        for (int copy = 0; copy < 3; ++copy)
        {
            service.forwards = 0;
            service.messages = 0;
            service.send(flow_number);
            ASSERT_LE(service.forwards, max_forwards) << "seed " << seed;
            ASSERT_LE(service.messages, 3 * members) << "seed " << seed;
            service.pass(std::chrono::milliseconds(200));
        }
        ASSERT_EQ(service.too_many_hops(), 0U) << "seed " << seed;
    }
}

// Half of the agents restarted: each of them may have the flow until it has
// tried its upstream.
TEST(packet_forwarding, forwards_and_messages_are_bounded_with_many_members)
{
    constexpr std::size_t walk_forwards = 60;
    constexpr std::size_t total_members = 4000;
    constexpr std::chrono::seconds settled(11);
    for (const std::size_t count : {std::size_t{163}, std::size_t{1000}})
    {
        for (std::uint64_t seed = 0; seed < total_members / count; ++seed)
        {
            seeded_random random(seed);
            searched_service service(settled, count);
            randomize_history(service, count, random);
            service.forwards = 0;
            service.messages = 0;
            service.send(flow_number);
            service.pass(std::chrono::seconds(4));
            EXPECT_EQ(service.resets +
                          std::min<std::size_t>(service.delivered.size(), 1),
                      1U)
                << count << " members, seed " << seed;
            EXPECT_LE(service.forwards, walk_forwards + count);
            EXPECT_LE(service.messages, 6 * count);
            EXPECT_EQ(service.too_many_hops(), 0U);
        }
    }
}

} // namespace

} // namespace crowlink::test
