#include "crowlink/base/random.hpp"
#include "searched_service.hpp"

#include <gtest/gtest.h>

// Whatever agents were told, and whichever of them restarted: a packet ends
// delivered, with a reset, or held until more is known, and does not go round.

namespace crowlink::test
{

namespace
{

constexpr std::size_t members = searched_service::members;
constexpr std::uint16_t flow_number = 9;

// Each of two was told that the flow is with a third one, which lost it.
TEST(hops, what_agents_were_told_of_a_lost_flow_leads_to_a_reset)
{
    for (std::size_t owner = 0; owner < members; ++owner)
    {
        searched_service service;
        for (std::size_t index = 0; index < members; ++index)
        {
            service.tell(index, owner, flow_number);
        }
        service.send(flow_number);
        EXPECT_EQ(service.too_many_hops(), 0U) << owner;
        EXPECT_EQ(service.resets, 1U) << owner;
    }
}

TEST(hops, are_bounded_in_any_mesh)
{
    // A walk over two chains, what it was led astray by, and a search.
    constexpr std::size_t most_forwards = 60;
    constexpr std::uint64_t meshes = 10000;
    for (std::uint64_t seed = 0; seed < meshes; ++seed)
    {
        seeded_random random(seed);
        searched_service service(std::chrono::seconds(20));
        const bool is_held = random() % 2 == 0;
        if (is_held)
        {
            service.hold(random() % members, flow_number);
        }
        for (std::size_t index = 0; index < members; ++index)
        {
            if (random() % 2 == 0)
            {
                service.restart(index, true);
            }
        }
        const std::size_t told = random() % (2 * members);
        for (std::size_t each = 0; each < told; ++each)
        {
            service.tell(random() % members, random() % members, flow_number);
        }
        for (int copy = 0; copy < 3; ++copy)
        {
            service.forwards = 0;
            service.send(flow_number);
            ASSERT_LE(service.forwards, most_forwards) << "seed " << seed;
            service.pass(std::chrono::milliseconds(200));
        }
        ASSERT_EQ(service.too_many_hops(), 0U) << "seed " << seed;
    }
}

} // namespace

} // namespace crowlink::test
