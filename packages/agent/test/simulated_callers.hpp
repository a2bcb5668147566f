#pragma once

#include "opening_fixture.hpp"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace crowlink::test
{

// Callers, a network and an upstream with slots and a FIFO queue around one
// agent. Callers send copies, give up, and retry with new flows as the callers
// of the deployments do.
class simulated_callers
{
public:
    // What became of the requests of one kind that were asked in one period.
    struct outcome
    {
        std::size_t asked = 0;
        std::size_t in_time = 0;
        std::size_t late = 0;
        std::size_t failed = 0;
    };

    explicit simulated_callers(bool has_terms = true, std::uint32_t slots = 2)
        : fixture(has_terms, slots), m_slots(slots)
    {
        fixture.observe();
        m_start = fixture.now;
        m_effects.owner = this;
    }

    // The requests that the upstream can serve in a second.
    double capacity() const
    {
        return m_slots /
               std::chrono::duration<double>(opening_fixture::service_time)
                   .count();
    }

    // Requests arrive at a mean rate, from the present end of the play.
    void ask(std::uint16_t port, double rate, duration from, duration until,
             std::size_t host = 0)
    {
        std::exponential_distribution<double> gap(rate);
        duration at = from;
        for (;;)
        {
            at += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap(m_random)));
            if (at >= until)
            {
                return;
            }
            const std::size_t request = m_requests.size();
            m_requests.push_back(request_state{port, host, at});
            schedule(m_start + at, [this, request] { attempt(request); });
        }
    }

    void stall(duration from, duration until)
    {
        schedule(m_start + from, [this] { m_is_stalled = true; });
        schedule(m_start + until,
                 [this]
                 {
                     m_is_stalled = false;
                     for (const auto& done : m_stalled)
                     {
                         done();
                     }
                     m_stalled.clear();
                 });
    }

    void play(duration length)
    {
        const duration tick_interval = std::chrono::milliseconds(50);
        for (duration at{}; at < length; at += tick_interval)
        {
            schedule(m_start + at, [this] { handle(tick{}); });
        }
        while (!m_events.empty())
        {
            const timed next = m_events.top();
            m_events.pop();
            fixture.now = next.at;
            next.run();
            m_most_held = std::max(m_most_held, fixture.core->held());
        }
    }

    outcome of(std::uint16_t port, duration from, duration until) const
    {
        outcome sum;
        for (const request_state& each : m_requests)
        {
            if (each.port != port || each.asked < from || each.asked >= until)
            {
                continue;
            }
            ++sum.asked;
            const bool is_answered = each.took > duration::zero();
            sum.in_time += is_answered && each.took <= aim ? 1 : 0;
            sum.late += is_answered && each.took > aim ? 1 : 0;
            sum.failed += is_answered ? 0 : 1;
        }
        return sum;
    }

    // Flows that were delivered to the upstream twice, or after the caller was
    // told that they had not run.
    std::size_t contradictions() const { return m_contradictions; }
    std::size_t most_held() const { return m_most_held; }
    // The longest time from the sending of an opening packet to its refusal.
    duration slowest_refusal() const { return m_slowest_refusal; }

    opening_fixture fixture;

private:
    static constexpr duration aim = std::chrono::milliseconds(300);
    static constexpr duration timeout = std::chrono::milliseconds(1500);
    static constexpr duration opening_timeout = std::chrono::milliseconds(1400);
    static constexpr duration path = std::chrono::milliseconds(1);
    static constexpr duration retry_pause = std::chrono::milliseconds(50);
    static constexpr int max_attempts = 3;

    struct request_state
    {
        std::uint16_t port = 0;
        std::size_t host = 0;
        duration asked{};
        // Until the response; zero without one.
        duration took{};
        int attempts = 0;
        // The flow of the present attempt.
        flow_key flow{};
        bool is_opening = false;
    };

    struct timed
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;

        friend bool operator<(const timed& first, const timed& second)
        {
            return first.at != second.at ? first.at > second.at
                                         : first.order > second.order;
        }
    };

    struct forwarding_effects : recording_effects
    {
        void deliver(const flow_key& flow, payload_view)
        {
            owner->delivered(flow);
        }
        void refuse(const endpoint&, const flow_key& flow, payload_view,
                    const flow_refusal&)
        {
            owner->refused(flow);
        }
        void decide(const flow_decision&) {}

        simulated_callers* owner = nullptr;
    };

    void schedule(time_point at, std::function<void()> run)
    {
        m_events.push(timed{at, m_order++, std::move(run)});
    }

    void after(duration time, std::function<void()> run)
    {
        schedule(fixture.now + time, std::move(run));
    }

    template <class Event>
    void handle(const Event& event)
    {
        fixture.core->handle(fixture.now, event, m_effects);
        // As the loop does: work is reported after what caused it.
        while (m_unreported > 0)
        {
            --m_unreported;
            fixture.core->handle(fixture.now, work_started{1}, m_effects);
        }
    }

    duration waited(const request_state& request) const
    {
        return fixture.now - m_start - request.asked;
    }

    void attempt(std::size_t index)
    {
        request_state& request = m_requests[index];
        if (request.attempts >= max_attempts || waited(request) >= timeout)
        {
            return;
        }
        ++request.attempts;
        ++m_next_flow;
        request.flow = opening_fixture::flow(
            static_cast<std::uint16_t>(m_next_flow % 50000 + 1), request.port);
        // Numbers wrap around after flows that have long ended.
        m_started.erase(request.flow);
        m_refused.erase(request.flow);
        request.is_opening = true;
        m_by_flow[request.flow] = index;
        const flow_key flow = request.flow;
        m_sent[flow] = fixture.now;
        std::uint32_t copy = 0;
        for (const int ms : {0, 200, 600})
        {
            const std::uint32_t number = copy++;
            after(std::chrono::milliseconds(ms),
                  [this, index, flow, number] { send(index, flow, number); });
        }
        after(opening_timeout,
              [this, index, flow]
              {
                  if (is_opening(index, flow))
                  {
                      m_requests[index].is_opening = false;
                      attempt(index);
                  }
              });
    }

    bool is_opening(std::size_t index, const flow_key& flow) const
    {
        return m_requests[index].is_opening && m_requests[index].flow == flow;
    }

    void send(std::size_t index, const flow_key& flow, std::uint32_t copy)
    {
        if (!is_opening(index, flow))
        {
            return;
        }
        const std::size_t host = m_requests[index].host;
        after(path,
              [this, flow, copy, host]
              {
                  const packet_header sent = fixture.header(flow, 1, host);
                  packet_arrived event{sent, {}, answer_need::required};
                  event.copy = copy;
                  event.will_retransmit = copy < 2;
                  handle(event);
              });
    }

    void delivered(const flow_key& flow)
    {
        if (m_started.contains(flow))
        {
            // A copy of an open flow is only delivered again.
            return;
        }
        m_contradictions += m_refused.contains(flow) ? 1 : 0;
        m_started.insert(flow);
        ++m_unreported;
        const std::size_t index = m_by_flow[flow];
        after(path,
              [this, index, flow]
              {
                  if (!is_opening(index, flow))
                  {
                      after(path, [this, flow] { end(flow, false); });
                      return;
                  }
                  m_requests[index].is_opening = false;
                  after(2 * path, [this, flow] { arrive(flow); });
              });
    }

    void refused(const flow_key& flow)
    {
        m_contradictions += m_started.contains(flow) ? 1 : 0;
        m_refused.insert(flow);
        m_slowest_refusal =
            std::max(m_slowest_refusal, fixture.now - m_sent[flow]);
        const std::size_t index = m_by_flow[flow];
        after(path,
              [this, index, flow]
              {
                  if (is_opening(index, flow))
                  {
                      m_requests[index].is_opening = false;
                      after(retry_pause, [this, index] { attempt(index); });
                  }
              });
    }

    // The request has come to the upstream.
    void arrive(const flow_key& flow)
    {
        m_queue.push_back(flow);
        handle(requests_counted{++m_requests_running, 0});
        run_next();
    }

    void run_next()
    {
        while (m_running < m_slots && !m_queue.empty())
        {
            const flow_key flow = m_queue.front();
            m_queue.pop_front();
            ++m_running;
            std::uniform_real_distribution<double> factor(0.5, 1.5);
            const auto work = std::chrono::duration_cast<duration>(
                opening_fixture::service_time * factor(m_random));
            after(work, [this, flow] { finish(flow); });
        }
    }

    void finish(const flow_key& flow)
    {
        if (m_is_stalled)
        {
            m_stalled.emplace_back([this, flow] { finish(flow); });
            return;
        }
        --m_running;
        request_state& request = m_requests[m_by_flow[flow]];
        const duration took = waited(request) + path;
        if (took <= timeout && request.took == duration::zero())
        {
            request.took = took;
        }
        end(flow, true);
        handle(requests_counted{--m_requests_running, 1});
        run_next();
    }

    void end(const flow_key& flow, bool completed)
    {
        handle(upstream_answered{flow, {}, true});
        handle(upstream_closed{flow});
        handle(work_ended{1, completed});
    }

    std::uint32_t m_slots;
    time_point m_start{};
    std::mt19937 m_random{7};
    std::priority_queue<timed> m_events;
    std::uint64_t m_order = 0;
    forwarding_effects m_effects;
    std::vector<request_state> m_requests;
    std::map<flow_key, std::size_t> m_by_flow;
    std::map<flow_key, time_point> m_sent;
    std::set<flow_key> m_started;
    std::set<flow_key> m_refused;
    std::deque<flow_key> m_queue;
    std::vector<std::function<void()>> m_stalled;
    std::uint32_t m_running = 0;
    std::uint64_t m_requests_running = 0;
    std::size_t m_unreported = 0;
    std::size_t m_next_flow = 0;
    std::size_t m_contradictions = 0;
    std::size_t m_most_held = 0;
    duration m_slowest_refusal{};
    bool m_is_stalled = false;
};

} // namespace crowlink::test
