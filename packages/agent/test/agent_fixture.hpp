#pragma once

#include "recording_effects.hpp"

#include <algorithm>
#include <memory>
#include <string>

namespace crowlink::test
{

// One agent of a service with a number of members, past its settling time, and
// a clock that the test advances.
class agent_fixture
{
public:
    explicit agent_fixture(std::size_t members,
                           const sharing_policy& sharing = warm_sharing(),
                           std::uint32_t connections = 2000,
                           std::uint32_t cold_flows_per_second = 0)
    {
        auto view = std::make_shared<service_view>();
        view->declared.id = service_id(5);
        view->declared.sharing = sharing;
        view->declared.limits.connections = connections;
        view->declared.limits.cold_flows_per_second = cold_flows_per_second;
        for (std::size_t i = 0; i < members; ++i)
        {
            view->members.push_back(member(i));
        }
        m_view = view;
        m_settings.self = member(0);
        core = std::make_unique<agent>(m_settings, now);
        handle(view_changed{m_view});
        advance(m_settings.settle + std::chrono::seconds(1));
    }

    static sharing_policy warm_sharing()
    {
        sharing_policy sharing;
        sharing.cold_start = duration::zero();
        return sharing;
    }

    static upstream_record member(std::size_t index)
    {
        upstream_record record;
        record.id = upstream_id("u" + std::to_string(index));
        record.service = service_id(5);
        record.started = incarnation(100 + index);
        record.agent = address(index);
        return record;
    }

    static endpoint address(std::size_t index)
    {
        const std::array<std::uint8_t, 4> bytes{
            10, 0, static_cast<std::uint8_t>(index >> 8U),
            static_cast<std::uint8_t>(index)};
        return endpoint{ip_address::from_v4(bytes), 4000};
    }

    static candidate identity(std::size_t index)
    {
        const upstream_record record = member(index);
        return candidate{record.agent, tag_of(record.id, record.started)};
    }

    static flow_key flow(std::uint16_t number)
    {
        return flow_key{endpoint{address(200).address, number},
                        endpoint{address(201).address, 80}, transport::udp};
    }

    // A packet whose chain has only this agent, so that no other agent is
    // asked.
    packet_header header(std::uint16_t number) const
    {
        packet_header made;
        made.service = service_id(5);
        made.table = forwarding_table::build(*m_view)->digest();
        made.flow = flow(number);
        made.current.push_back(identity(0));
        made.return_to = address(100);
        return made;
    }

    void call(std::uint16_t number, answer_need need = answer_need::unknown)
    {
        const packet_header sent = header(number);
        handle(packet_arrived{sent, {}, need});
    }

    void answer(std::uint16_t number)
    {
        const flow_key answered = flow(number);
        handle(upstream_answered{answered, {}});
    }

    void deliver_message(const peer_message& message)
    {
        const endpoint from = address(1);
        handle(message_arrived{from, message});
    }

    template <class Event>
    void handle(const Event& event)
    {
        core->handle(now, event, effects);
    }

    // Sends the agent a view in which its own upstream is draining or ready.
    void set_drained(bool drained)
    {
        const auto view = std::make_shared<service_view>(*m_view);
        view->members.front().state =
            drained ? upstream_state::draining : upstream_state::ready;
        handle(view_changed{view});
    }

    // Advances the clock with a tick every 100 ms.
    void advance(duration time)
    {
        constexpr duration step = std::chrono::milliseconds(100);
        for (duration done{}; done < time; done += step)
        {
            now += step;
            handle(tick{});
        }
    }

    time_point now{std::chrono::hours(1)};
    recording_effects effects;
    std::unique_ptr<agent> core;

private:
    agent_settings m_settings;
    std::shared_ptr<const service_view> m_view;
};

} // namespace crowlink::test
