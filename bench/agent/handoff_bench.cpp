// Weighs the ways of placing new flows: how evenly open flows are spread, and
// how many hops that costs. Real agents and tables in one process; a wire that
// takes half a millisecond; arrivals and long-tailed times drawn from a seed.
// Prints one JSON object a way.

#include "crowlink/agent.hpp"
#include "crowlink/base/random.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <string>
#include <vector>

namespace
{

using namespace crowlink;
using namespace std::chrono_literals;

constexpr duration wire = 500us;
constexpr duration tick_every = 50ms;

struct way
{
    std::string name;
    service_goal goal = service_goal::balance;
    std::uint32_t candidates = 3;
    // How often peers tell each other their load.
    duration assess = 250ms;
};

struct load_shape
{
    std::string name;
    std::size_t upstreams = 7;
    double flows_per_second = 50.0;
    double mean_seconds = 20.0;
    // From a third of the time on, arrivals are so many times as many.
    double surge = 1.0;
};

endpoint address(std::uint8_t group, std::size_t index)
{
    const std::array<std::uint8_t, 4> bytes{
        10, group, static_cast<std::uint8_t>(index >> 8U),
        static_cast<std::uint8_t>(index)};
    return endpoint{ip_address::from_v4(bytes), 4000};
}

class trial
{
public:
    trial(const way& chosen, const load_shape& shape, std::uint64_t seed)
        : m_shape(shape), m_random(seed)
    {
        auto view = std::make_shared<service_view>();
        view->declared.id = service_id(1);
        view->declared.sharing.goal = chosen.goal;
        view->declared.sharing.candidates = chosen.candidates;
        view->declared.sharing.cold_start = 0s;
        for (std::size_t i = 0; i < shape.upstreams; ++i)
        {
            upstream_record record;
            record.id = upstream_id(fmt::format("upstream-{:04}", i));
            record.service = service_id(1);
            record.started = incarnation(1);
            record.agent = address(1, i);
            view->members.push_back(record);
            m_index[record.agent] = i;
        }
        m_table = forwarding_table::build(*view);
        m_outside = std::vector<outside>(shape.upstreams);
        for (std::size_t i = 0; i < shape.upstreams; ++i)
        {
            agent_settings settings;
            settings.self = view->members[i];
            settings.assess = chosen.assess;
            settings.udp_idle = 100h;
            m_outside[i] = outside{this, i};
            m_agents.push_back(std::make_unique<agent>(settings, m_now));
            handle(i, view_changed{view});
            at(m_now, [this, i] { tick_agent(i); });
        }
    }

    nlohmann::ordered_json run(duration time)
    {
        run_until(m_now + 11s);
        m_forwards = 0;
        m_messages = 0;
        const time_point start = m_now;
        m_surge_at = start + time / 3;
        arrive();
        sample(start + 3 * duration(std::chrono::seconds(
                               static_cast<long>(m_shape.mean_seconds))));
        run_until(start + time);
        const double seconds = std::chrono::duration<double>(time).count();
        nlohmann::ordered_json out;
        out["mean_max_over_mean"] = m_ratio_sum / m_samples;
        out["worst_max_over_mean"] = m_ratio_worst;
        out["hops_per_new_flow"] =
            static_cast<double>(m_forwards) / static_cast<double>(m_opened);
        out["messages_per_agent_second"] = static_cast<double>(m_messages) /
                                           seconds /
                                           static_cast<double>(m_agents.size());
        out["flows"] = m_opened;
        return out;
    }

private:
    struct outside
    {
        trial* run = nullptr;
        std::size_t index = 0;

        void deliver(const flow_key& flow, payload_view)
        {
            run->opened(index, flow);
        }
        void forward(const endpoint& to, const packet_header& header,
                     payload_view)
        {
            ++run->m_forwards;
            run->send_packet(to, header);
        }
        void answer(const endpoint&, const flow_key&, payload_view) {}
        void refuse(const endpoint&, const flow_key&, payload_view,
                    const flow_refusal&)
        {
        }
        void reset_caller(const endpoint&, const flow_key&, payload_view,
                          const flow_refusal&)
        {
        }
        void reset_upstream(const flow_key&, refusal_reason) {}
        void close(const flow_key&) {}
        void send(const endpoint& to, const peer_message& message)
        {
            ++run->m_messages;
            const std::size_t target = run->m_index.at(to);
            const endpoint from = address(1, index);
            trial* const net = run;
            net->at(net->m_now + wire,
                    [net, target, from, message] {
                        net->handle(target, message_arrived{from, message});
                    });
        }
        void announce(const upstream_record&) {}
        void decide(const flow_decision&) {}
    };

    struct timed_event
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const timed_event& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    void at(time_point when, std::function<void()> action)
    {
        m_events.push(timed_event{when, m_order++, std::move(action)});
    }

    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.top().when <= end)
        {
            const timed_event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.action();
        }
        m_now = end;
    }

    template <class Event>
    void handle(std::size_t index, const Event& event)
    {
        m_agents[index]->handle(m_now, event, m_outside[index]);
    }

    void tick_agent(std::size_t index)
    {
        handle(index, tick{});
        at(m_now + tick_every, [this, index] { tick_agent(index); });
    }

    void send_packet(const endpoint& to, const packet_header& header)
    {
        const std::size_t target = m_index.at(to);
        at(m_now + wire,
           [this, target, header] {
               handle(target, packet_arrived{header, {}, answer_need::none});
           });
    }

    void arrive()
    {
        packet_header header;
        header.service = service_id(1);
        header.table = m_table->digest();
        const std::size_t number = m_next++;
        header.flow = flow_key{
            endpoint{address(static_cast<std::uint8_t>(100 + (number >> 30U)),
                             number >> 14U)
                         .address,
                     static_cast<std::uint16_t>(1024 + (number & 0x3fffU))},
            address(2, 1), transport::udp};
        header.current = m_table->chain(stable_hash(header.flow));
        send_packet(header.current[0].agent, header);
        const double rate = m_shape.flows_per_second *
                            (m_now >= m_surge_at ? m_shape.surge : 1.0);
        std::exponential_distribution<double> gap(rate);
        at(m_now + seconds(gap(m_random)), [this] { arrive(); });
    }

    // A flow came in somewhere; its time is drawn from a lognormal
    // distribution whose longest tenth holds most of the time.
    void opened(std::size_t index, const flow_key& flow)
    {
        ++m_opened;
        constexpr double spread = 1.5;
        const double middle =
            std::log(m_shape.mean_seconds) - spread * spread / 2.0;
        std::lognormal_distribution<double> lasting(middle, spread);
        at(m_now + seconds(lasting(m_random)),
           [this, index, flow] { handle(index, upstream_closed{flow}); });
    }

    void sample(time_point from)
    {
        if (m_now >= from)
        {
            std::size_t most = 0;
            std::size_t sum = 0;
            for (const auto& one : m_agents)
            {
                most = std::max(most, one->flows());
                sum += one->flows();
            }
            const double mean =
                static_cast<double>(sum) / static_cast<double>(m_agents.size());
            const double ratio = static_cast<double>(most) / mean;
            m_ratio_sum += ratio;
            m_ratio_worst = std::max(m_ratio_worst, ratio);
            m_samples += 1.0;
        }
        at(m_now + 500ms, [this, from] { sample(from); });
    }

    static duration seconds(double value)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(value));
    }

    load_shape m_shape;
    seeded_random m_random;
    time_point m_now{1h};
    time_point m_surge_at{};
    std::uint64_t m_order = 0;
    std::priority_queue<timed_event> m_events;
    std::map<endpoint, std::size_t> m_index;
    std::shared_ptr<const forwarding_table> m_table;
    std::vector<outside> m_outside;
    std::vector<std::unique_ptr<agent>> m_agents;
    std::size_t m_next = 0;
    std::uint64_t m_opened = 0;
    std::uint64_t m_forwards = 0;
    std::uint64_t m_messages = 0;
    double m_ratio_sum = 0.0;
    double m_ratio_worst = 0.0;
    double m_samples = 0.0;
};

} // namespace

int main()
{
    constexpr auto never = 100000h;
    const std::vector<way> ways{
        {"hash", service_goal::balance, 1, never},
        {"least_of_2", service_goal::balance, 2, never},
        {"least_of_3", service_goal::balance, 3, never},
        {"least_of_4", service_goal::balance, 4, never},
        {"mean_then_least_of_2", service_goal::balance, 2, 250ms},
        {"mean_then_least_of_3", service_goal::balance, 3, 250ms},
        {"mean_then_least_of_3_told_each_s", service_goal::balance, 3, 1s},
        {"mean_then_least_of_4", service_goal::balance, 4, 250ms},
        {"threshold_of_3", service_goal::continuity, 3, 250ms},
    };
    const std::vector<load_shape> shapes{
        {"steady_7", 7, 50.0, 20.0, 1.0},
        {"surge_7", 7, 50.0, 20.0, 9.0},
        {"steady_70", 70, 500.0, 20.0, 1.0},
    };
    constexpr std::uint64_t seeds = 3;
    for (const load_shape& shape : shapes)
    {
        for (const way& chosen : ways)
        {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                trial one(chosen, shape, seed);
                nlohmann::ordered_json line;
                line["load"] = shape.name;
                line["way"] = chosen.name;
                line["seed"] = seed;
                line.update(one.run(300s));
                fmt::print("{}\n", line.dump());
            }
        }
    }
}
