#pragma once

#include "agent_fixture.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace crowlink::test
{

// All agents of a service, each with an upstream that returns packets of flows
// that it does not hold. Packets are forwarded without delay.
class searched_service
{
public:
    static constexpr std::size_t members = 7;

    explicit searched_service(duration age = std::chrono::seconds(60),
                              std::size_t count = members)
        : unreachable_member(count)
    {
        m_view = std::make_shared<service_view>();
        m_view->declared.id = service_id(5);
        m_view->declared.sharing = agent_fixture::warm_sharing();
        for (std::size_t i = 0; i < count; ++i)
        {
            m_view->members.push_back(agent_fixture::member(i));
        }
        // Views list their members by name.
        std::sort(m_view->members.begin(), m_view->members.end(),
                  [](const upstream_record& one, const upstream_record& two)
                  { return one.id < two.id; });
        for (std::size_t i = 0; i < count; ++i)
        {
            restart(i, false);
        }
        pass(age);
    }

    // Restarts the agent, beside a running upstream or a new one.
    void restart(std::size_t index, bool was_running,
                 bool has_just_started = false)
    {
        agent_settings settings;
        settings.self = agent_fixture::member(index);
        m_cores[index] = std::make_unique<agent>(settings, m_now);
        if (was_running)
        {
            handle(index, upstream_survived{has_just_started});
        }
        handle(index, view_changed{m_view});
    }

    void set_state(std::size_t index, upstream_state state)
    {
        m_view = std::make_shared<service_view>(*m_view);
        m_view->version = config_version(m_view->version.value() + 1);
        for (upstream_record& each : m_view->members)
        {
            if (each.id == agent_fixture::member(index).id)
            {
                each.state = state;
                ++each.sequence;
            }
        }
        for (std::size_t i = 0; i < m_cores.size(); ++i)
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
            for (std::size_t i = 0; i < m_cores.size(); ++i)
            {
                handle(i, tick{});
            }
        }
    }

    // Sends a caller's packet to the head of the flow's chain, as a balancer
    // does.
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

    // Gives the agent a redirect of the flow to another agent.
    void deliver_redirect(std::size_t index, std::size_t owner,
                          std::uint16_t number)
    {
        flow_key flow = agent_fixture::flow(number);
        flow.protocol = transport::tcp;
        const redirect_notice told{service_id(5),
                                   m_cores[index]->tag(),
                                   agent_fixture::identity(owner),
                                   std::chrono::minutes(10),
                                   {owned_flow{flow, std::chrono::minutes(1)}}};
        handle(index, message_arrived{agent_fixture::address(owner), told});
    }

    std::uint64_t too_many_hops() const
    {
        std::uint64_t sum = 0;
        for (const auto& [index, core] : m_cores)
        {
            sum += core->counts().too_many_hops;
        }
        return sum;
    }

    // Makes the upstream hold the flow, whether or not its agent knows it.
    void hold(std::size_t index, std::uint16_t number)
    {
        flow_key flow = agent_fixture::flow(number);
        flow.protocol = transport::tcp;
        m_held[flow] = index;
    }

    // The member that gets no packets or messages; the number of members if
    // there is none.
    std::size_t unreachable_member;
    std::size_t resets = 0;
    // Packets that reached an upstream which does not hold their flow.
    std::size_t tried = 0;
    std::size_t forwards = 0;
    // Questions and answers.
    std::size_t messages = 0;
    std::vector<std::size_t> delivered;

private:
    void arrive(const endpoint& to, const packet_header& header)
    {
        for (std::size_t i = 0; i < m_cores.size(); ++i)
        {
            if (agent_fixture::address(i) == to && i != unreachable_member)
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
        for (const auto& [to, message] : effects.sent)
        {
            deliver_to_peer(index, to, message);
        }
    }

    // Loads and redirects are dropped: agents know only the redirects that the
    // test gives them.
    void deliver_to_peer(std::size_t from, const endpoint& to,
                         const peer_message& message)
    {
        const bool is_search =
            std::holds_alternative<owner_question>(message) ||
            std::holds_alternative<owner_answer>(message);
        if (!is_search)
        {
            return;
        }
        ++messages;
        for (std::size_t i = 0; i < m_cores.size(); ++i)
        {
            if (agent_fixture::address(i) == to && i != unreachable_member)
            {
                const endpoint sender = agent_fixture::address(from);
                handle(i, message_arrived{sender, message});
            }
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
        ++tried;
        handle(index, packet_returned{m_last, {}});
    }

    time_point m_now{std::chrono::hours(1)};
    std::shared_ptr<service_view> m_view;
    std::map<std::size_t, std::unique_ptr<agent>> m_cores;
    std::map<flow_key, std::size_t> m_held;
    packet_header m_last;
};

} // namespace crowlink::test
