#pragma once

#include "agent_fixture.hpp"

#include <memory>
#include <optional>
#include <vector>

namespace crowlink::test
{

// An agent of a service with two routes whose terms it may know, and an
// upstream whose work is reported as the daemon's loop does: with the round of
// each delivery.
class opening_fixture
{
public:
    static constexpr duration service_time = std::chrono::milliseconds(30);
    static constexpr std::uint16_t urgent_port = 81;
    static constexpr std::uint16_t other_port = 82;

    explicit opening_fixture(bool has_terms = true, std::uint32_t slots = 2,
                             std::size_t members = 1,
                             std::uint32_t cold_flows_per_second = 0)
        : m_view(make_view(has_terms, members, cold_flows_per_second))
    {
        agent_settings settings;
        settings.self = agent_fixture::member(0);
        settings.work_per_slot = 4;
        settings.slots = slots;
        core = std::make_unique<agent>(settings, now);
        handle(view_changed{m_view});
        run(settings.settle + std::chrono::seconds(1));
    }

    static std::shared_ptr<service_view>
    make_view(bool has_terms, std::size_t members,
              std::uint32_t cold_flows_per_second)
    {
        auto view = std::make_shared<service_view>();
        view->declared.id = service_id(5);
        view->declared.sharing = agent_fixture::warm_sharing();
        view->declared.limits.cold_flows_per_second = cold_flows_per_second;
        for (std::size_t i = 0; i < members; ++i)
        {
            view->members.push_back(agent_fixture::member(i));
        }
        std::uint32_t priority = 1;
        for (const std::uint16_t port : {urgent_port, other_port})
        {
            address_share share{service_address(port)};
            if (has_terms)
            {
                share.terms =
                    route_terms{request_class::non_idempotent,
                                std::chrono::milliseconds(1500),
                                std::chrono::milliseconds(300), priority++};
            }
            view->declared.shares.push_back(share);
        }
        return view;
    }

    static endpoint service_address(std::uint16_t port)
    {
        return endpoint{agent_fixture::address(201).address, port};
    }

    static flow_key flow(std::uint16_t number, std::uint16_t port = urgent_port)
    {
        return flow_key{endpoint{agent_fixture::address(200).address, number},
                        service_address(port), transport::tcp};
    }

    // The chain has this agent only, unless `members` is more than 1.
    packet_header header(const flow_key& of, std::size_t members = 1,
                         std::size_t host = 0) const
    {
        packet_header made;
        made.service = service_id(5);
        made.table = forwarding_table::build(*m_view)->digest();
        made.flow = of;
        made.role = packet_role::opens;
        for (std::size_t i = 0; i < members; ++i)
        {
            made.current.push_back(agent_fixture::identity(i));
        }
        made.return_to = agent_fixture::address(100 + host);
        return made;
    }

    void open(const flow_key& of, std::uint32_t copy = 0, std::size_t host = 0,
              std::size_t payload_bytes = 20)
    {
        open(header(of, 1, host), copy, payload_bytes);
    }

    void open(const packet_header& sent, std::uint32_t copy = 0,
              std::size_t payload_bytes = 20)
    {
        const std::vector<std::uint8_t> payload(payload_bytes);
        packet_arrived event{sent, payload, answer_need::required};
        event.will_retransmit = copy < 2;
        event.copy = copy;
        handle(event);
    }

    void reset_by_caller(const flow_key& of)
    {
        packet_header sent = header(of);
        sent.role = packet_role::resets;
        handle(packet_arrived{sent, {}, answer_need::none});
    }

    // Ends the oldest request at the upstream.
    void complete()
    {
        --running;
        handle(work_ended{1, true});
        handle(requests_counted{running, 1});
    }

    template <class Event>
    void handle(const Event& event)
    {
        const std::size_t before = effects.delivered.size();
        core->handle(now, event, effects);
        for (std::size_t i = before; i < effects.delivered.size(); ++i)
        {
            ++running;
            core->handle(now, work_started{1}, effects);
            core->handle(now, requests_counted{running, 0}, effects);
        }
    }

    // Advances the clock with a tick every 50 ms.
    void run(duration time)
    {
        constexpr duration step = std::chrono::milliseconds(50);
        for (duration done{}; done < time; done += step)
        {
            now += std::min(step, time - done);
            handle(tick{});
        }
    }

    // Lets the agent observe the service time.
    void observe(duration each = service_time)
    {
        for (std::uint16_t i = 0; i < 30; ++i)
        {
            open(flow(static_cast<std::uint16_t>(60000 + i)));
            now += each;
            complete();
        }
        effects = recording_effects();
    }

    // Observes the service time and starts requests up to the window.
    void fill(std::uint16_t count = 4)
    {
        observe();
        for (std::uint16_t i = 0; i < count; ++i)
        {
            open(flow(static_cast<std::uint16_t>(50000 + i)));
        }
        effects = recording_effects();
    }

    std::shared_ptr<service_view> view() const { return m_view; }

    time_point now{std::chrono::hours(1)};
    recording_effects effects;
    std::unique_ptr<agent> core;
    // Requests at the upstream.
    std::size_t running = 0;

private:
    std::shared_ptr<service_view> m_view;
};

} // namespace crowlink::test
