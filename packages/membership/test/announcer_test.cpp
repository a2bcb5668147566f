#include "crowlink/membership.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace crowlink::test
{

namespace
{

const time_point start{std::chrono::hours(1)};
const duration tenth = std::chrono::milliseconds(100);

announcer_settings settings()
{
    announcer_settings out;
    for (const char* name : {"c0", "c1", "c2"})
    {
        out.observers.push_back({host_id(name), place_id("p"), region_id("r")});
    }
    out.region = region_id("r");
    return out;
}

upstream_record record(const std::string& id)
{
    upstream_record out;
    out.id = upstream_id(id);
    out.service = service_id(1);
    out.where = place_id("p");
    out.started = incarnation(500);
    return out;
}

wire::membership_message answer(const upstream_record& to,
                                wire::announcement_status status,
                                std::uint64_t newest = 0)
{
    wire::membership_message out;
    auto& body = *out.mutable_answer();
    body.set_service(to.service.value());
    body.set_id(to.id.value());
    body.set_started(to.started.value());
    body.set_sequence(to.sequence);
    body.set_status(status);
    body.set_newest_started(newest);
    return out;
}

// Runs until the announcer sends a message.
std::vector<membership_send> next_send(announcer& core, time_point& now)
{
    for (int step = 0; step < 1000; ++step)
    {
        now += tenth;
        auto sends = core.tick(now);
        if (!sends.empty())
        {
            return sends;
        }
    }
    return {};
}

} // namespace

TEST(announcer, renews_an_accepted_record)
{
    time_point now = start;
    announcer core(settings(), record("u"), 1, now);
    const auto first = next_send(core, now);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(first[0].message.has_announce());
    core.handle(now, core.home(),
                answer(core.record(), wire::ANNOUNCEMENT_ACCEPTED));
    EXPECT_TRUE(core.accepted());
    const time_point accepted_at = now;
    EXPECT_TRUE(next_send(core, now)[0].message.has_renew());
    EXPECT_LE(now - accepted_at, settings().renewal_interval + tenth);
}

TEST(announcer, fails_over_with_a_higher_sequence)
{
    time_point now = start;
    announcer core(settings(), record("u"), 1, now);
    const auto first = next_send(core, now);
    next_send(core, now);
    const auto third = next_send(core, now);
    EXPECT_NE(third[0].to, first[0].to);
    EXPECT_GT(third[0].message.announce().record().sequence(),
              first[0].message.announce().record().sequence());
}

TEST(announcer, raises_its_incarnation_after_the_wall_clock_was_set_back)
{
    time_point now = start;
    announcer core(settings(), record("u"), 1, now);
    next_send(core, now);
    const auto again = core.handle(
        now, core.home(), answer(core.record(), wire::ANNOUNCEMENT_OLDER, 900));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].message.announce().record().started(), 901U);
    EXPECT_FALSE(core.superseded());
}

TEST(announcer, stops_when_a_later_process_has_its_identity)
{
    time_point now = start;
    announcer core(settings(), record("u"), 1, now);
    next_send(core, now);
    core.handle(now, core.home(),
                answer(core.record(), wire::ANNOUNCEMENT_ACCEPTED));
    core.handle(now, core.home(),
                answer(core.record(), wire::ANNOUNCEMENT_OLDER, 900));
    EXPECT_TRUE(core.superseded());
    EXPECT_TRUE(next_send(core, now).empty());
}

TEST(announcer, announces_draining_at_once)
{
    time_point now = start;
    announcer core(settings(), record("u"), 1, now);
    const auto sends = core.change(now, upstream_state::draining, 100);
    ASSERT_EQ(sends.size(), 1U);
    EXPECT_EQ(sends[0].message.announce().record().state(), 1U);
    EXPECT_EQ(sends[0].message.announce().record().sequence(), 1U);
}

// Thousands of announcers that start at once while no observer answers must
// neither send synchronously nor at an increasing rate.
TEST(announcer, a_thousand_announcers_without_observers_spread_their_messages)
{
    std::vector<announcer> cores;
    for (std::uint64_t index = 0; index < 1000; ++index)
    {
        cores.emplace_back(settings(), record("u" + std::to_string(index)),
                           index, start);
    }
    std::map<int, std::size_t> sends;
    time_point now = start;
    for (int step = 0; step < 1200; ++step)
    {
        now += tenth;
        for (announcer& core : cores)
        {
            sends[step] += core.tick(now).size();
        }
    }
    std::size_t total = 0;
    std::size_t most = 0;
    for (const auto& each : sends)
    {
        total += each.second;
        most = each.first < 300 ? most : std::max(most, each.second);
    }
    // A round consists of three observers, each tried twice, and a backoff of
    // at most 8 s.
    EXPECT_LT(total, 1000U * 120U);
    EXPECT_LT(most, 150U);
}

TEST(balancer_record, becomes_a_member_of_the_group_of_its_data_centre)
{
    balancer_record balancer;
    balancer.id = host_id("b0");
    balancer.where = place_id("p");
    const upstream_record member = to_member(balancer);
    EXPECT_TRUE(is_balancer_group(member.service));
    EXPECT_EQ(member.service, balancer_group(place_id("p")));
    EXPECT_NE(member.service, balancer_group(place_id("q")));
}

} // namespace crowlink::test
