#include "agent_fixture.hpp"
#include "crowlink/agent/admission.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace crowlink::test
{

namespace
{

using namespace std::chrono_literals;
using internal::admission;

constexpr std::uint32_t slots = 2;
constexpr std::uint32_t one_request = 500'000;

service declared_service(bool has_terms)
{
    service declared;
    declared.id = service_id(5);
    declared.limits.slots = slots;
    declared.sharing = agent_fixture::warm_sharing();
    address_share share{agent_fixture::address(9), 1, {}};
    if (has_terms)
    {
        share.terms = route_terms{};
    }
    declared.shares = {share};
    return declared;
}

// An admission whose upstream has completed requests of a known service time.
class relative_time : public testing::Test
{
protected:
    void start(bool has_terms)
    {
        m_admission.emplace(2s, m_now, 4, slots);
        m_admission->progress().assume_warm();
        m_admission->declare(declared_service(has_terms), 100);
    }

    void complete(int requests, duration service_time)
    {
        for (int i = 0; i < requests; ++i)
        {
            m_admission->note_requests(m_now, 1, 0);
            m_now += service_time;
            m_admission->note_requests(m_now, 0, 1);
        }
    }

    void hear(upstream_tag peer, duration service_time)
    {
        m_admission->peers().note(m_now, peer, one_request, service_time);
    }

    std::uint32_t assessed()
    {
        m_admission->assess(m_now);
        return m_admission->relative_time_permille();
    }

    std::uint32_t load_of(std::uint32_t requests)
    {
        m_admission->started(requests);
        const std::uint32_t load = m_admission->load(0);
        m_admission->ended(m_now, requests, false);
        return load;
    }

    time_point m_now{1h};
    std::optional<admission> m_admission;
};

struct weighted_case
{
    duration service_time;
    std::uint32_t permille;
    std::uint32_t idle;
    std::uint32_t of_three_requests;
};

// An idle slow upstream counted as free would get every twelfth request.
TEST_F(relative_time, weighs_the_work_of_a_slow_and_of_a_fast_upstream)
{
    for (const weighted_case& each :
         {weighted_case{60ms, 2000, 500'000, 3'500'000},
          weighted_case{15ms, 500, 0, 500'000}})
    {
        start(true);
        complete(40, each.service_time);
        hear(1, 30ms);
        hear(2, 20ms);
        hear(3, 40ms);
        EXPECT_NEAR(assessed(), each.permille, 1);
        EXPECT_NEAR(load_of(0), each.idle, 2000);
        EXPECT_NEAR(load_of(3), each.of_three_requests, 2000);
    }
}

// Loads of services whose terms are unknown must not change in any way.
TEST_F(relative_time, has_no_effect_without_terms)
{
    start(false);
    complete(40, 300ms);
    hear(1, 30ms);
    hear(2, 30ms);
    EXPECT_EQ(assessed(), 1000U);
    EXPECT_EQ(load_of(0), 0U);
    EXPECT_EQ(load_of(1), one_request);
    EXPECT_EQ(load_of(3), 3 * one_request);
}

// Equal upstreams under mixed load differ by chance; to weigh that would make
// the balance worse.
TEST_F(relative_time, has_no_effect_for_differences_within_chance)
{
    for (const duration own : {25ms, 30ms, 37ms})
    {
        start(true);
        complete(40, own);
        hear(1, 30ms);
        hear(2, 30ms);
        EXPECT_EQ(assessed(), 1000U);
        EXPECT_EQ(load_of(0), 0U);
        EXPECT_EQ(load_of(1), one_request);
        EXPECT_EQ(load_of(3), 3 * one_request);
    }
}

TEST_F(relative_time, is_bounded)
{
    start(true);
    complete(40, 3s);
    hear(1, 30ms);
    hear(2, 30ms);
    EXPECT_EQ(assessed(), 8000U);
    start(true);
    complete(40, 1ms);
    hear(1, 30ms);
    hear(2, 30ms);
    EXPECT_EQ(assessed(), 125U);
}

// A single peer may be the slow one. Zero is what peers of an earlier release
// and peers without evidence send.
TEST_F(relative_time, needs_two_peers_whose_service_time_is_known)
{
    start(true);
    complete(40, 300ms);
    EXPECT_EQ(assessed(), 1000U);
    hear(1, 30ms);
    hear(2, 0ms);
    hear(3, 0ms);
    EXPECT_EQ(assessed(), 1000U);
    hear(2, 30ms);
    EXPECT_EQ(assessed(), 8000U);
    // What peers sent becomes too old.
    m_now += 11s;
    EXPECT_EQ(assessed(), 1000U);
}

TEST_F(relative_time, is_neutral_after_a_restart_until_there_is_evidence)
{
    start(true);
    hear(1, 30ms);
    hear(2, 30ms);
    complete(7, 300ms);
    EXPECT_EQ(assessed(), 1000U);
    complete(1, 300ms);
    EXPECT_EQ(assessed(), 8000U);
}

// The load must grow while nothing completes, and not only afterwards.
TEST_F(relative_time, rises_during_a_stall_and_recovers)
{
    start(true);
    complete(40, 30ms);
    m_admission->note_requests(m_now, 2, 0);
    std::uint32_t before = 1000;
    for (int i = 0; i < 4; ++i)
    {
        m_now += 500ms;
        hear(1, 30ms);
        hear(2, 30ms);
        EXPECT_GT(assessed(), before);
        before = assessed();
    }
    EXPECT_GT(before, 4000U);
    complete(128, 30ms);
    EXPECT_EQ(assessed(), 1000U);
}

std::vector<load_notice> notices(bool has_terms)
{
    agent_settings settings;
    settings.self = agent_fixture::member(0);
    settings.slots = slots;
    time_point now{1h};
    agent core(settings, now);
    recording_effects effects;
    auto view = std::make_shared<service_view>();
    view->declared = declared_service(has_terms);
    view->members = {agent_fixture::member(0), agent_fixture::member(1)};
    core.handle(now, view_changed{view}, effects);
    for (int i = 0; i < 40; ++i)
    {
        core.handle(now, requests_counted{1, 0}, effects);
        now += 25ms;
        core.handle(now, requests_counted{0, 1}, effects);
    }
    core.handle(now, tick{}, effects);
    std::vector<load_notice> sent;
    for (const auto& [to, message] : effects.sent)
    {
        if (const auto* load = std::get_if<load_notice>(&message))
        {
            sent.push_back(*load);
        }
    }
    EXPECT_EQ(core.service_time(now).value_or(0ns), duration(25ms));
    return sent;
}

TEST(load_notices, tell_the_service_time_where_terms_are_known)
{
    ASSERT_EQ(notices(true).size(), 1U);
    EXPECT_EQ(notices(true)[0].service_time, duration(25ms));
    ASSERT_EQ(notices(false).size(), 1U);
    EXPECT_EQ(notices(false)[0].service_time, duration::zero());
}

} // namespace

} // namespace crowlink::test
