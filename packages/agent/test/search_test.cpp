#include "agent_fixture.hpp"
#include "crowlink/agent/chain_walk.hpp"

#include <gtest/gtest.h>
#include <map>

namespace crowlink::test
{

namespace
{

constexpr std::size_t members = 7;

// All agents of a service, each with an upstream that returns what it does not
// hold. Packets go from one to the next at once.
class searched_service
{
public:
    searched_service()
    {
        m_view = std::make_shared<service_view>();
        m_view->declared.id = service_id(5);
        m_view->declared.sharing = agent_fixture::warm_sharing();
        for (std::size_t i = 0; i < members; ++i)
        {
            m_view->members.push_back(agent_fixture::member(i));
        }
        for (std::size_t i = 0; i < members; ++i)
        {
            restart(i, false);
        }
        pass(std::chrono::seconds(60));
    }

    // The agent starts anew, beside an upstream that lived on or a new one.
    void restart(std::size_t index, bool lived_on)
    {
        agent_settings settings;
        settings.self = agent_fixture::member(index);
        m_cores[index] = std::make_unique<agent>(settings, m_now);
        if (lived_on)
        {
            handle(index, upstream_lived_on{});
        }
        handle(index, view_changed{m_view});
    }

    void set_state(std::size_t index, upstream_state state)
    {
        m_view = std::make_shared<service_view>(*m_view);
        m_view->version = config_version(m_view->version.value() + 1);
        m_view->members[index].state = state;
        ++m_view->members[index].sequence;
        for (std::size_t i = 0; i < members; ++i)
        {
            handle(i, view_changed{m_view});
        }
    }

    void pass(duration time)
    {
        constexpr duration step = std::chrono::milliseconds(100);
        for (duration done{}; done < time; done += step)
        {
            m_now += step;
            for (std::size_t i = 0; i < members; ++i)
            {
                handle(i, tick{});
            }
        }
    }

    // A caller's packet, handed to the head of the flow's chain by a balancer.
    void send(std::uint16_t number,
              const candidate_chain& previous = candidate_chain())
    {
        packet_header made;
        made.service = service_id(5);
        made.flow = agent_fixture::flow(number);
        made.flow.protocol = transport::tcp;
        made.role = packet_role::continues;
        const auto table = forwarding_table::build(*m_view);
        made.table = table->digest();
        made.current = table->chain(stable_hash(made.flow));
        made.previous = previous;
        arrive(made.current[0].agent, made);
    }

    // The upstream holds the flow, whatever its agent knows.
    void hold(std::size_t index, std::uint16_t number)
    {
        flow_key flow = agent_fixture::flow(number);
        flow.protocol = transport::tcp;
        m_held[flow] = index;
    }

    // The last member that a search for the flow meets has no later one.
    std::size_t cut_off = members;
    std::size_t resets = 0;
    std::size_t forwards = 0;
    std::vector<std::size_t> delivered;

private:
    void arrive(const endpoint& to, const packet_header& header)
    {
        for (std::size_t i = 0; i < members; ++i)
        {
            if (agent_fixture::address(i) == to && i != cut_off)
            {
                handle(i, packet_arrived{header, {}, answer_need::required});
            }
        }
    }

    template <class Event>
    void handle(std::size_t index, const Event& event)
    {
        recording_effects effects;
        m_cores[index]->handle(m_now, event, effects);
        resets += effects.caller_resets.size();
        for (const auto& each : effects.delivered)
        {
            deliver(index, each);
        }
        for (const auto& each : effects.forwards)
        {
            ++forwards;
            m_last = each.header;
            arrive(each.to, each.header);
        }
    }

    void deliver(std::size_t index, const flow_key& flow)
    {
        const auto holder = m_held.find(flow);
        if (holder != m_held.end() && holder->second == index)
        {
            delivered.push_back(index);
            return;
        }
        handle(index, packet_returned{m_last, {}});
    }

    time_point m_now{std::chrono::hours(1)};
    std::shared_ptr<service_view> m_view;
    std::map<std::size_t, std::unique_ptr<agent>> m_cores;
    std::map<flow_key, std::size_t> m_held;
    packet_header m_last;
};

constexpr std::uint16_t flow_number = 9;
constexpr std::chrono::milliseconds until_repeated(200);

// All hosts lost power: the flow's upstream is gone, and the caller would wait
// for its own deadline.
TEST(search, a_caller_whose_flow_nobody_has_is_reset_at_once)
{
    searched_service service;
    service.send(flow_number);
    EXPECT_EQ(service.resets, 1U);
    EXPECT_LE(service.forwards, 2 * members);
}

TEST(search, agents_that_restarted_beside_new_upstreams_prove_it_by_trying)
{
    searched_service service;
    for (std::size_t i = 0; i < members; ++i)
    {
        service.restart(i, true);
    }
    service.pass(std::chrono::seconds(5));
    service.send(flow_number);
    EXPECT_EQ(service.resets, 1U);
    EXPECT_TRUE(service.delivered.empty());
}

// The owner is beyond the chains, and its agent has forgotten the flow.
TEST(search, finds_a_flow_wherever_it_is_after_all_agents_restarted)
{
    for (std::size_t owner = 0; owner < members; ++owner)
    {
        searched_service service;
        service.hold(owner, flow_number);
        for (std::size_t i = 0; i < members; ++i)
        {
            service.restart(i, true);
        }
        service.pass(std::chrono::seconds(5));
        service.send(flow_number);
        EXPECT_EQ(service.resets, 0U);
        EXPECT_EQ(service.delivered, std::vector{owner});
    }
}

TEST(search, one_member_that_does_not_answer_leaves_the_caller_alone)
{
    for (std::size_t silent = 0; silent < members; ++silent)
    {
        searched_service service;
        service.cut_off = silent;
        service.send(flow_number);
        EXPECT_EQ(service.resets, 0U) << silent;
    }
}

TEST(search, proves_nothing_while_members_may_be_unknown)
{
    searched_service service;
    for (std::size_t i = 0; i < members; ++i)
    {
        service.restart(i, false);
    }
    service.send(flow_number);
    EXPECT_EQ(service.resets, 0U);
    // The caller's packet waited: its next copy may be far off.
    service.pass(std::chrono::seconds(5));
    EXPECT_EQ(service.resets, 1U);
}

TEST(search, what_was_held_finds_an_owner_that_became_known)
{
    searched_service service;
    service.hold(3, flow_number);
    for (std::size_t i = 0; i < members; ++i)
    {
        service.restart(i, i == 3);
    }
    service.cut_off = 3;
    service.send(flow_number);
    service.cut_off = members;
    service.send(flow_number);
    service.pass(std::chrono::seconds(5));
    EXPECT_EQ(service.resets, 0U);
    EXPECT_FALSE(service.delivered.empty());
}

TEST(search, a_silent_member_that_serves_the_flow_keeps_it)
{
    searched_service service;
    service.hold(3, flow_number);
    service.restart(3, true);
    service.set_state(3, upstream_state::silent);
    service.send(flow_number);
    EXPECT_EQ(service.delivered, std::vector<std::size_t>{3});
    EXPECT_EQ(service.resets, 0U);
}

TEST(search, with_a_silent_member_only_a_caller_in_vain_is_reset)
{
    searched_service service;
    service.cut_off = 3;
    service.set_state(3, upstream_state::silent);
    service.send(flow_number);
    EXPECT_EQ(service.resets, 0U);
    service.pass(until_repeated);
    service.send(flow_number);
    EXPECT_EQ(service.resets, 1U);
}

TEST(search, a_flow_that_may_be_with_another_service_is_left_alone)
{
    searched_service service;
    candidate_chain elsewhere;
    elsewhere.push_back(agent_fixture::identity(members + 1));
    service.send(flow_number, elsewhere);
    EXPECT_EQ(service.resets, 0U);
}

TEST(search, is_bounded_at_each_tick)
{
    searched_service service;
    const std::uint32_t bound = agent_settings().searches_per_tick;
    // One agent begins all of them.
    std::uint16_t begun = 0;
    for (std::uint16_t flow = 1; begun <= members * bound; ++flow, ++begun)
    {
        service.send(flow);
    }
    EXPECT_LE(service.resets, members * bound);
    EXPECT_LT(service.resets, begun);
}

} // namespace

} // namespace crowlink::test
