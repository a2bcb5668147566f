#include "agent_fixture.hpp"

#include <gtest/gtest.h>
#include <map>

namespace crowlink::test
{

namespace
{

constexpr std::size_t members_of_service = 7;
constexpr std::uint16_t flow_number = 9;

flow_key searched()
{
    flow_key flow = agent_fixture::flow(flow_number);
    flow.protocol = transport::tcp;
    return flow;
}

// Several services of seven agents each, past their settling time, with packets
// and questions between them. An address led from one service to the next.
class moved_flow
{
public:
    explicit moved_flow(std::size_t services)
    {
        for (std::size_t service = 0; service < services; ++service)
        {
            add_service(service);
        }
        pass(std::chrono::seconds(60));
    }

    static std::size_t index_of(std::size_t service, std::size_t member)
    {
        return service * members_of_service + member;
    }

    static service_id id_of(std::size_t service)
    {
        return service_id(static_cast<std::uint32_t>(5 + service));
    }

    // Opens the flow at this agent.
    void open(std::size_t index)
    {
        packet_header made;
        made.service = id_of(index / members_of_service);
        made.flow = searched();
        made.role = packet_role::opens;
        const auto& view = *m_views[index / members_of_service];
        made.table = forwarding_table::build(view)->digest();
        made.current.push_back(agent_fixture::identity(index));
        handle(index, packet_arrived{made, {}});
        ASSERT_TRUE(m_cores[index]->owns(searched()));
    }

    // Sends a packet of the flow as a balancer does: to the head of the last
    // service's chain, with the heads of the other ones.
    void send()
    {
        const std::uint64_t hash = stable_hash(searched());
        packet_header made;
        made.service = id_of(m_views.size() - 1);
        made.flow = searched();
        made.role = packet_role::continues;
        const auto table = forwarding_table::build(*m_views.back());
        made.table = table->digest();
        made.current = table->chain(hash);
        for (std::size_t place = 0; place < candidate_chain::capacity; ++place)
        {
            for (std::size_t at = m_views.size() - 1; at-- > 0;)
            {
                const candidate_chain former =
                    forwarding_table::build(*m_views[at])->chain(hash);
                if (place < former.size())
                {
                    made.previous.push_back(former[place]);
                }
            }
        }
        made.omits_services = omits_services;
        arrive(made.current[0].agent, made);
        pass(std::chrono::milliseconds(200));
    }

    // The same of one service, whose former chain has the agents of the present
    // one beside other upstreams.
    void send_with_former_incarnations()
    {
        packet_header made;
        made.service = id_of(0);
        made.flow = searched();
        made.role = packet_role::continues;
        const auto table = forwarding_table::build(*m_views[0]);
        made.table = table->digest();
        made.current = table->chain(stable_hash(searched()));
        for (const candidate& each : made.current)
        {
            made.previous.push_back(candidate{each.agent, each.tag + 1});
        }
        arrive(made.current[0].agent, made);
        pass(std::chrono::milliseconds(200));
    }

    void pass(duration time)
    {
        constexpr duration step = std::chrono::milliseconds(50);
        for (duration done{}; done < time; done += step)
        {
            m_now += step;
            for (auto& [index, core] : m_cores)
            {
                handle(index, tick{});
            }
        }
    }

    // Whether packets say that the flow may be at further services.
    bool omits_services = false;
    std::size_t resets = 0;
    std::size_t forwards = 0;
    std::vector<std::size_t> delivered;

private:
    void add_service(std::size_t service)
    {
        auto view = std::make_shared<service_view>();
        view->declared.id = id_of(service);
        view->declared.sharing = agent_fixture::warm_sharing();
        for (std::size_t member = 0; member < members_of_service; ++member)
        {
            upstream_record record =
                agent_fixture::member(index_of(service, member));
            record.service = view->declared.id;
            view->members.push_back(record);
        }
        std::sort(view->members.begin(), view->members.end(),
                  [](const upstream_record& one, const upstream_record& two)
                  { return one.id < two.id; });
        m_views.push_back(view);
        for (std::size_t member = 0; member < members_of_service; ++member)
        {
            const std::size_t index = index_of(service, member);
            agent_settings settings;
            settings.self = agent_fixture::member(index);
            settings.self.service = view->declared.id;
            m_cores[index] = std::make_unique<agent>(settings, m_now);
            handle(index, view_changed{view});
        }
    }

    void arrive(const endpoint& to, const packet_header& header)
    {
        for (auto& [index, core] : m_cores)
        {
            if (agent_fixture::address(index) == to)
            {
                handle(index,
                       packet_arrived{header, {}, answer_need::required});
            }
        }
    }

    template <class Event>
    void handle(std::size_t index, const Event& event)
    {
        recording_effects effects;
        m_cores[index]->handle(m_now, event, effects);
        resets += effects.caller_resets.size();
        delivered.insert(delivered.end(), effects.delivered.size(), index);
        for (const auto& each : effects.forwards)
        {
            ++forwards;
            arrive(each.to, each.header);
        }
        for (const auto& [to, message] : effects.sent)
        {
            ask(index, to, message);
        }
    }

    // Only questions and their answers arrive, so that no agent has a redirect.
    void ask(std::size_t from, const endpoint& to, const peer_message& message)
    {
        const bool is_search =
            std::holds_alternative<owner_question>(message) ||
            std::holds_alternative<owner_answer>(message);
        for (auto& [index, core] : m_cores)
        {
            if (is_search && agent_fixture::address(index) == to)
            {
                const endpoint sender = agent_fixture::address(from);
                handle(index, message_arrived{sender, message});
            }
        }
    }

    time_point m_now{std::chrono::hours(1)};
    std::vector<std::shared_ptr<const service_view>> m_views;
    std::map<std::size_t, std::unique_ptr<agent>> m_cores;
};

} // namespace

// The walk ends at an agent of either service, which knows its own members
// only: the flow of a member beyond the chains was reset or never found.
TEST(other_service, flow_is_found_at_any_member_of_either_service)
{
    for (std::size_t owner = 0; owner < 2 * members_of_service; ++owner)
    {
        moved_flow flow(2);
        flow.open(owner);
        flow.delivered.clear();
        flow.send();
        EXPECT_EQ(flow.resets, 0U) << owner;
        EXPECT_EQ(flow.delivered, std::vector{owner});
    }
}

TEST(other_service, flow_is_found_after_its_address_moved_twice)
{
    for (std::size_t owner = 0; owner < 3 * members_of_service; ++owner)
    {
        moved_flow flow(3);
        flow.open(owner);
        flow.delivered.clear();
        flow.send();
        EXPECT_EQ(flow.resets, 0U) << owner;
        EXPECT_EQ(flow.delivered, std::vector{owner});
    }
}

// While another service may have the flow its caller was never told that it is
// lost, and waited for its own timeout.
TEST(other_service, caller_of_a_lost_flow_is_reset_once_all_services_deny_it)
{
    for (std::size_t services = 2; services <= 4; ++services)
    {
        moved_flow flow(services);
        flow.send();
        EXPECT_EQ(flow.resets, 1U) << services;
        EXPECT_TRUE(flow.delivered.empty());
        EXPECT_LE(flow.forwards, 16U);
    }
}

// Guards against the reset of a flow of a service that its packet had no room
// to name.
TEST(other_service, caller_is_not_reset_while_services_are_omitted)
{
    for (std::size_t services = 1; services <= 4; ++services)
    {
        moved_flow flow(services);
        flow.omits_services = true;
        flow.send();
        EXPECT_EQ(flow.resets, 0U) << services;
        flow.omits_services = false;
        flow.send();
        EXPECT_EQ(flow.resets, 1U) << services;
    }
}

// An agent that started after a member was replaced has never heard of its
// former incarnation, which balancers may still name.
TEST(other_service, former_incarnation_of_a_member_is_not_of_another_service)
{
    moved_flow flow(1);
    flow.send_with_former_incarnations();
    EXPECT_EQ(flow.resets, 1U);
}

} // namespace crowlink::test
