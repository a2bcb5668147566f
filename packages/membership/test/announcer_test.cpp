#include "crowlink/membership.hpp"
#include "crowlink/model/unreported_start.hpp"

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

// An upstream that reports its own start, and the announcer of its agent.
class restarted_announcer : public ::testing::Test
{
protected:
    static constexpr std::uint64_t running = 5000;

    static announcer_settings upstream_settings()
    {
        announcer_settings out = settings();
        out.raises_incarnation = false;
        return out;
    }

    static upstream_record record_of(incarnation started,
                                     std::uint64_t sequence = 0)
    {
        upstream_record out = record("u");
        out.started = started;
        out.sequence = sequence;
        return out;
    }

    std::vector<membership_send> refuse(std::uint64_t newest)
    {
        return m_core.handle(
            m_now, m_core.home(),
            answer(m_core.record(), wire::ANNOUNCEMENT_OLDER, newest));
    }

    void accept()
    {
        m_core.handle(m_now, m_core.home(),
                      answer(m_core.record(), wire::ANNOUNCEMENT_ACCEPTED));
    }

    static wire::member sent_record(const std::vector<membership_send>& sends)
    {
        return sends.empty() ? wire::member()
                             : sends.front().message.announce().record();
    }

    time_point m_now = start;
    announcer m_core{upstream_settings(),
                     record_of(incarnation(unreported_start), 10), 1, start};
};

// Nodes would know the upstream by a tag that its agent does not have, and its
// open flows would be reset.
TEST_F(restarted_announcer, unreported_start_is_never_raised)
{
    next_send(m_core, m_now);
    for (int refused = 0; refused < 5; ++refused)
    {
        EXPECT_TRUE(refuse(running).empty());
        EXPECT_EQ(m_core.record().started.value(), unreported_start);
        EXPECT_FALSE(m_core.accepted());
        EXPECT_FALSE(m_core.superseded());
        const time_point refused_at = m_now;
        const auto again = next_send(m_core, m_now);
        EXPECT_EQ(sent_record(again).started(), unreported_start);
        EXPECT_LE(m_now - refused_at,
                  upstream_settings().backoff_limit + tenth);
    }
}

// Without this, the record stays the refused one and nodes lose the upstream
// when the lease of its earlier agent runs out.
TEST_F(restarted_announcer, reported_start_is_announced_at_once)
{
    next_send(m_core, m_now);
    refuse(running);
    const auto sends =
        m_core.restart(m_now, record_of(incarnation(running), 20));
    EXPECT_EQ(sent_record(sends).started(), running);
    EXPECT_EQ(sent_record(sends).sequence(), 20U);
    EXPECT_EQ(m_core.given_start(), incarnation(running));
    accept();
    EXPECT_TRUE(m_core.accepted());
    EXPECT_TRUE(next_send(m_core, m_now)[0].message.has_renew());
}

// An answer to the first announcement must not count for the second one.
TEST_F(restarted_announcer, late_answer_to_the_announcement_before_is_ignored)
{
    next_send(m_core, m_now);
    const upstream_record before = m_core.record();
    m_core.restart(m_now, record_of(incarnation(running), 20));
    EXPECT_TRUE(m_core
                    .handle(m_now, m_core.home(),
                            answer(before, wire::ANNOUNCEMENT_OLDER, running))
                    .empty());
    m_core.handle(m_now, m_core.home(),
                  answer(before, wire::ANNOUNCEMENT_ACCEPTED));
    EXPECT_FALSE(m_core.accepted());
    EXPECT_EQ(m_core.record().started, incarnation(running));
    accept();
    EXPECT_TRUE(m_core.accepted());
}

// The second announcement has its own tries at the home before the fail-over,
// and a sequence that observers take for newer.
TEST_F(restarted_announcer, unanswered_announcement_is_followed_by_a_newer_one)
{
    const auto first = next_send(m_core, m_now);
    next_send(m_core, m_now);
    const auto sends =
        m_core.restart(m_now, record_of(incarnation(running), 3));
    ASSERT_EQ(sends.size(), 1U);
    EXPECT_EQ(sends[0].to, first[0].to);
    EXPECT_EQ(sent_record(sends).sequence(), 11U);
    EXPECT_EQ(next_send(m_core, m_now)[0].to, first[0].to);
    // Control is away: other observers are tried, with the reported start.
    const auto elsewhere = next_send(m_core, m_now);
    EXPECT_NE(elsewhere[0].to, first[0].to);
    EXPECT_EQ(sent_record(elsewhere).started(), running);
}

// Its agent announced the upstream as gone, and the observers accepted that.
TEST_F(restarted_announcer, announces_again_after_an_accepted_end)
{
    m_core.change(m_now, upstream_state::gone, 100);
    accept();
    ASSERT_TRUE(next_send(m_core, m_now).empty());
    const auto sends =
        m_core.restart(m_now, record_of(incarnation(running), 20));
    EXPECT_EQ(sent_record(sends).state(), 0U);
    accept();
    EXPECT_TRUE(next_send(m_core, m_now)[0].message.has_renew());
}

TEST_F(restarted_announcer, knows_no_observer_yet)
{
    announcer lone(announcer_settings{{}, region_id("r")},
                   record_of(incarnation(unreported_start)), 1, m_now);
    EXPECT_TRUE(lone.restart(m_now, record_of(incarnation(running))).empty());
    lone.set_observers(settings().observers);
    EXPECT_EQ(sent_record(lone.tick(m_now)).started(), running);
}

// The clock of the agent's host was set back by an hour, so that the sequence,
// which begins with the clock, is below that of the earlier agent's record.
TEST_F(restarted_announcer, sequence_exceeds_that_of_the_earlier_agent)
{
    constexpr std::uint64_t held = 3'600'000;
    next_send(m_core, m_now);
    auto sends = m_core.restart(m_now, record_of(incarnation(running), 20));
    int rounds = 0;
    while (sent_record(sends).sequence() <= held && rounds < 20)
    {
        ++rounds;
        sends = refuse(running);
        ASSERT_EQ(sends.size(), 1U);
        EXPECT_EQ(sent_record(sends).started(), running);
    }
    EXPECT_LT(rounds, 20);
    accept();
    EXPECT_TRUE(m_core.accepted());
}

// An agent of an earlier release raised the incarnation. Without an end to the
// refusals the upstream would be lost for the life of a tombstone.
TEST_F(restarted_announcer, reported_start_that_is_refused_twice_is_raised)
{
    next_send(m_core, m_now);
    m_core.restart(m_now, record_of(incarnation(running), 20));
    EXPECT_TRUE(refuse(running + 1).empty());
    const time_point refused_at = m_now;
    EXPECT_EQ(sent_record(next_send(m_core, m_now)).started(), running);
    EXPECT_LE(m_now - refused_at, settings().renewal_interval + tenth);
    EXPECT_EQ(sent_record(refuse(running + 1)).started(), running + 2);
    EXPECT_EQ(m_core.given_start(), incarnation(running));
    accept();
    EXPECT_TRUE(m_core.accepted());
    // The upstream's next life is again known by its own start.
    EXPECT_EQ(sent_record(m_core.restart(m_now, record_of(incarnation(9000))))
                  .started(),
              9000U);
}

// A late message of an ended incarnation must not replace the present one.
TEST_F(restarted_announcer, present_incarnation_follows_a_refused_one)
{
    next_send(m_core, m_now);
    m_core.restart(m_now, record_of(incarnation(running - 1000), 20));
    EXPECT_TRUE(refuse(running).empty());
    const auto sends =
        m_core.restart(m_now, record_of(incarnation(running), 30));
    EXPECT_EQ(sent_record(sends).started(), running);
    accept();
    EXPECT_TRUE(m_core.accepted());
}

// An end is no reason to replace what another agent announced.
TEST_F(restarted_announcer, refused_end_is_not_raised)
{
    upstream_record ended = record_of(incarnation(running), 20);
    ended.state = upstream_state::gone;
    next_send(m_core, m_now);
    m_core.restart(m_now, ended);
    for (int refused = 0; refused < 3; ++refused)
    {
        EXPECT_TRUE(refuse(running + 1).empty());
        EXPECT_EQ(sent_record(next_send(m_core, m_now)).started(), running);
    }
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
