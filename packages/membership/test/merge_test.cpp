#include "crowlink/membership.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace crowlink::test
{

namespace
{

const time_point now{std::chrono::hours(1)};

observer make_observer()
{
    observer_settings settings;
    settings.self.id = host_id("c0");
    for (const char* name : {"c1", "c2"})
    {
        settings.peers.push_back(
            {host_id(name), place_id("p"), region_id("r")});
    }
    return observer(settings, now);
}

// A random record out of a few upstreams and versions, living or gone, at one
// of two homes.
wire::membership_message draw(seeded_random& random)
{
    wire::membership_message out;
    auto& body = *out.mutable_changes();
    body.add_places("p");
    body.add_homes(random() % 2 == 0 ? "c1" : "c2");
    auto& member = *body.add_members();
    member.set_service(1);
    member.set_id("u" + std::to_string(random() % 4));
    member.set_started(random() % 3 + 1);
    member.set_sequence(random() % 3);
    member.set_address("abcd");
    member.set_state(random() % 3 == 0 ? 2 : 0);
    return out;
}

std::string digest_of(observer& core)
{
    for (const membership_send& each : core.tick(now).sends)
    {
        if (each.message.has_digest())
        {
            return each.message.SerializeAsString();
        }
    }
    return "";
}

} // namespace

namespace
{

// The announcement of an upstream; all come from the same agent address.
wire::membership_message announced(const char* id, std::uint64_t started,
                                   std::uint64_t sequence)
{
    wire::membership_message out;
    auto& body = *out.mutable_announce();
    body.add_places("p");
    auto& member = *body.mutable_record();
    member.set_service(1);
    member.set_id(id);
    member.set_started(started);
    member.set_sequence(sequence);
    member.set_address("abcd");
    return out;
}

upstream_state state_of(const observer& core, const char* id)
{
    const upstream_record* found = core.find(service_id(1), upstream_id(id));
    return found == nullptr ? upstream_state::gone : found->state;
}

} // namespace

// The agent restarts together with its upstream and does not know of the
// previous one, so it can not announce that one's end.
TEST(merge, upstream_ends_its_predecessor_at_the_same_agent)
{
    observer core = make_observer();
    core.handle(now, host_id("n"), announced("old", 1, 1000));
    const observer_output out =
        core.handle(now, host_id("n"), announced("new", 1, 2000));
    EXPECT_EQ(state_of(core, "old"), upstream_state::gone);
    EXPECT_EQ(state_of(core, "new"), upstream_state::ready);
    // Nodes are informed at once, as if the previous upstream had announced its
    // end.
    ASSERT_EQ(out.records.size(), 2U);
    EXPECT_EQ(out.records[0].id, upstream_id("old"));
    EXPECT_EQ(out.records[0].sequence, 1001U);
    // A late announcement of the previous upstream changes nothing.
    core.handle(now, host_id("n"), announced("old", 1, 1000));
    EXPECT_EQ(state_of(core, "old"), upstream_state::gone);
    EXPECT_EQ(state_of(core, "new"), upstream_state::ready);
}

TEST(merge,
     late_announcement_of_a_predecessor_does_not_end_the_present_upstream)
{
    observer core = make_observer();
    core.handle(now, host_id("n"), announced("new", 2, 1));
    core.handle(now, host_id("n"), announced("old", 1, 9));
    EXPECT_EQ(state_of(core, "new"), upstream_state::ready);
}

// Observers reach the same state in whatever order and however often records
// arrive, and a held record is never replaced by an older one.
TEST(merge, does_not_depend_on_order_or_duplication)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        seeded_random random(seed);
        std::vector<wire::membership_message> messages;
        constexpr std::size_t count = 60;
        messages.reserve(2 * count);
        for (std::size_t index = 0; index < count; ++index)
        {
            messages.push_back(draw(random));
        }
        observer first = make_observer();
        observer second = make_observer();
        for (const auto& each : messages)
        {
            const upstream_id id(each.changes().members(0).id());
            const auto* held = first.find(service_id(1), id);
            const upstream_record before =
                held == nullptr ? upstream_record{} : *held;
            first.handle(now, host_id("c1"), each);
            ASSERT_FALSE(newer(before, *first.find(service_id(1), id)));
        }
        messages.insert(messages.end(), messages.begin(), messages.end());
        std::shuffle(messages.begin(), messages.end(), random);
        for (const auto& each : messages)
        {
            second.handle(now, host_id("c2"), each);
        }
        const std::string digest = digest_of(first);
        ASSERT_NE(digest, "");
        ASSERT_EQ(digest, digest_of(second)) << seed;
    }
}

} // namespace crowlink::test
