#pragma once

#include "crowlink/requests/message_codec.hpp"
#include "crowlink/requests/request_admission.hpp"
#include "crowlink/requests/request_caller.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace crowlink::bench
{

// The sizes of the Foundation's loans service.
constexpr std::size_t agent_count = 7;
constexpr std::uint32_t slot_count = 4;
constexpr double mean_run_seconds = 0.010;
constexpr double capacity = agent_count * slot_count / mean_run_seconds;
constexpr duration one_way = std::chrono::milliseconds(1);
constexpr std::size_t caller_count = 20;
constexpr double surge_seconds = 3;

// What one run at one offered load showed.
struct surge_result
{
    std::uint64_t fresh = 0;
    // Requests sent, resends and retries included.
    std::uint64_t sent = 0;
    std::uint64_t ran = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    // Refusals by agents, each attempt counted.
    std::uint64_t agent_refusals = 0;
    // Seconds from the client's request to its final outcome.
    std::vector<double> answer_times;
    std::vector<double> refusal_times;
};

// Callers at a fixed offered load before agents with exact upstreams. The same
// agents and network serve whatever caller is compared.
template <class Caller>
class surge_world
{
public:
    surge_world(double load, std::uint64_t seed, std::size_t queue_limit)
        : m_load(load), m_arrivals(seed), m_random(seed + 1)
    {
        admission_settings admission;
        admission.slots = slot_count;
        admission.queue_limit = queue_limit;
        admission.kinds = {{"hold", 1, false}, {"read", 1, true}};
        for (std::size_t index = 0; index < agent_count; ++index)
        {
            m_agents.emplace_back(admission, incarnation(index + 1));
        }
        caller_settings calling;
        calling.paths = agent_count;
        calling.outstanding_limit = 100000;
        for (std::size_t index = 0; index < caller_count; ++index)
        {
            m_callers.emplace_back(calling, seeded_random(m_random()));
        }
    }

    surge_result run()
    {
        schedule_submit();
        time_point next;
        while ((next = next_time()) != time_point::max())
        {
            m_now = std::max(m_now, next);
            step();
        }
        for (const request_admission& agent : m_agents)
        {
            m_result.agent_refusals += agent.counts().refused;
        }
        return m_result;
    }

private:
    static double exponential(double mean, seeded_random& random)
    {
        return std::exponential_distribution<double>(1 / mean)(random);
    }

    static duration seconds(double value)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(value));
    }

    void at(time_point when, std::function<void()> what)
    {
        m_events.emplace(when, std::move(what));
    }

    void schedule_submit()
    {
        at(m_now + seconds(exponential(1 / (capacity * m_load), m_arrivals)),
           [this]
           {
               if (m_now.time_since_epoch() < seconds(surge_seconds))
               {
                   submit();
                   schedule_submit();
               }
           });
    }

    void submit()
    {
        const std::size_t index = m_arrivals() % caller_count;
        const bool idempotent = m_arrivals() % 2 == 0;
        ++m_result.fresh;
        const request_id id =
            m_callers[index].submit(m_now,
                                    {idempotent ? "read" : "hold", idempotent,
                                     std::chrono::milliseconds(500), "body"},
                                    m_wanted);
        m_submitted[id.caller ^ id.number] = m_now;
        carry_out_caller(index);
    }

    time_point next_time() const
    {
        time_point next =
            m_events.empty() ? time_point::max() : m_events.begin()->first;
        for (const Caller& each : m_callers)
        {
            next = std::min(next, each.next_wakeup());
        }
        for (const request_admission& each : m_agents)
        {
            next = std::min(next, each.next_wakeup());
        }
        return next;
    }

    void step()
    {
        if (!m_events.empty() && m_events.begin()->first <= m_now)
        {
            const auto what = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            what();
            return;
        }
        for (std::size_t index = 0; index < caller_count; ++index)
        {
            if (m_callers[index].next_wakeup() <= m_now)
            {
                m_callers[index].advance(m_now, m_wanted);
                carry_out_caller(index);
            }
        }
        for (std::size_t index = 0; index < agent_count; ++index)
        {
            if (m_agents[index].next_wakeup() <= m_now)
            {
                m_agents[index].advance(m_now, m_done);
                perform_agent_effects(index);
            }
        }
    }

    void carry_out_caller(std::size_t index)
    {
        caller_effects effects;
        std::swap(effects, m_wanted);
        for (const caller_datagram& sent : effects.datagrams)
        {
            const auto message = decode_caller_message(sent.bytes);
            m_result.sent += std::holds_alternative<request_part>(*message);
            at(m_now + one_way, [this, index, sent] { deliver(index, sent); });
        }
        for (const request_outcome& outcome : effects.outcomes)
        {
            count(outcome);
        }
    }

    void deliver(std::size_t index, const caller_datagram& sent)
    {
        flow_key flow;
        flow.caller.port = static_cast<std::uint16_t>(index);
        flow.service.port = static_cast<std::uint16_t>(sent.path);
        m_agents[sent.path].handle_datagram(m_now, flow, sent.bytes, m_done);
        perform_agent_effects(sent.path);
    }

    void perform_agent_effects(std::size_t index)
    {
        admission_effects effects;
        std::swap(effects, m_done);
        for (const std::string& command : effects.to_upstream)
        {
            const auto taken = decode_upstream_command(command);
            if (const auto* run = std::get_if<upstream_run>(&*taken))
            {
                at(m_now + seconds(exponential(mean_run_seconds, m_random)),
                   [this, index, id = run->id] { end_run(index, id); });
            }
        }
        for (const admission_datagram& sent : effects.to_callers)
        {
            at(m_now + one_way,
               [this, sent]
               {
                   const std::size_t to = sent.flow.caller.port;
                   m_callers[to].receive(m_now, sent.flow.service.port,
                                         sent.bytes, m_wanted);
                   carry_out_caller(to);
               });
        }
    }

    void end_run(std::size_t index, run_id id)
    {
        m_agents[index].handle_upstream(
            m_now, encode(upstream_answer{id, verdict::ran, {}, "answer"}),
            m_done);
        perform_agent_effects(index);
    }

    void count(const request_outcome& outcome)
    {
        // Outcomes at once come before the time of submission is noted.
        const auto found =
            m_submitted.find(outcome.id.caller ^ outcome.id.number);
        const time_point from =
            found == m_submitted.end() ? m_now : found->second;
        const double took = std::chrono::duration<double>(m_now - from).count();
        if (outcome.answer.outcome == verdict::ran)
        {
            ++m_result.ran;
            m_result.answer_times.push_back(took);
            return;
        }
        const bool proven = outcome.answer.outcome == verdict::not_run;
        ++(proven ? m_result.refused : m_result.unknown);
        m_result.refusal_times.push_back(took);
    }

    double m_load;
    // Of their own, so that compared callers get the same requests.
    seeded_random m_arrivals;
    seeded_random m_random;
    time_point m_now{};
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<request_admission> m_agents;
    std::vector<Caller> m_callers;
    caller_effects m_wanted;
    admission_effects m_done;
    std::unordered_map<std::uint64_t, time_point> m_submitted;
    surge_result m_result;
};

} // namespace crowlink::bench
