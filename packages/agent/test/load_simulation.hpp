#pragma once

#include "crowlink/agent.hpp"
#include "crowlink/base/random.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace crowlink::test
{

// From `at` on, the upstream runs at this speed; zero is a stall.
struct speed_change
{
    std::size_t upstream = 0;
    duration at{};
    double speed = 1;
};

// Requests with log-normal work times of spread 0.5.
struct simulated_kind
{
    // The part of all requests.
    double share = 1;
    duration work = std::chrono::milliseconds(30);
};

struct load_settings
{
    // One upstream each.
    std::vector<double> speeds = std::vector<double>(12, 1.0);
    std::vector<speed_change> changes;
    std::vector<simulated_kind> kinds = {simulated_kind{}};
    // Relative to the capacity at the initial speeds.
    double load = 0.8;
    // Whether the routes' terms are known to the agents.
    bool has_terms = true;
    // The first of the agents are of a release without service times: they
    // neither send nor read them, and weigh as without terms.
    std::size_t old_agents = 0;
    // The upstream restarts then, with a new agent; never if zero.
    duration restart_at{};
    std::size_t restarted = 0;
    duration warm_up = std::chrono::seconds(5);
    duration measured = std::chrono::seconds(20);
    std::uint64_t seed = 1;
};

// The results of the callers that arrived in the measured time.
struct load_result
{
    std::size_t callers = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    std::size_t failed = 0;
    // Of the responses, in milliseconds.
    double p50 = 0;
    double p99 = 0;
    // The requests that each upstream completed in the measured time.
    std::vector<std::size_t> completed;
    // The last of them in the last quarter of the measured time.
    std::vector<std::size_t> completed_at_end;
    std::vector<std::uint32_t> relative_times;

    // A late response has 0.3 of the value.
    double value() const
    {
        return (static_cast<double>(in_time) +
                0.3 * static_cast<double>(late)) /
               static_cast<double>(callers);
    }
};

// Real agents beside simulated upstreams with slots and a FIFO queue, and
// callers that send copies of their opening packet and retry, over a network
// with a constant delay.
class load_simulation
{
public:
    explicit load_simulation(load_settings settings);

    load_result run();

private:
    struct node_effects;
    struct request
    {
        std::size_t caller = 0;
        flow_key flow;
        duration work{};
    };
    struct node
    {
        upstream_record record;
        std::unique_ptr<agent> core;
        double speed = 1;
        std::deque<request> queue;
        std::vector<request> stalled;
        std::uint32_t busy = 0;
        // Those that the agent counts as queued or running.
        std::set<flow_key> counted;
        std::size_t incarnation = 0;
    };
    struct caller
    {
        time_point started;
        duration work{};
        int attempts = 0;
        bool is_done = false;
        bool is_counted = false;
    };
    struct attempt
    {
        std::size_t caller = 0;
        bool is_open = false;
        bool is_over = false;
    };
    struct timed_event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const timed_event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void after(duration time, std::function<void()> run);
    double uniform();
    duration draw_work();
    void publish();
    void start_agent(std::size_t index);
    void tick_all();
    void restart(std::size_t index);
    template <class Event>
    void handle(std::size_t index, const Event& event);
    void arrive();
    void open(std::size_t index);
    void send_copy(const flow_key& flow, std::size_t copy);
    void fail_attempt(const flow_key& flow);
    void deliver(std::size_t index, const flow_key& flow);
    void take_request(std::size_t index, const request& next);
    void start_next(std::size_t index);
    // The caller has given up and resets the flow.
    void give_up(std::size_t index, std::size_t incarnation,
                 const flow_key& flow);
    void finish(std::size_t index, std::size_t incarnation,
                const request& done);
    void set_speed(std::size_t index, double speed);
    void complete(std::size_t index);

    load_settings m_settings;
    seeded_random m_random;
    time_point m_start{std::chrono::hours(1)};
    time_point m_now = m_start;
    duration m_gap{};
    std::uint64_t m_order = 0;
    std::uint32_t m_next_flow = 0;
    std::priority_queue<timed_event> m_events;
    std::vector<node> m_nodes;
    std::map<endpoint, std::size_t> m_addresses;
    std::shared_ptr<const forwarding_table> m_table;
    std::vector<caller> m_callers;
    std::map<flow_key, attempt> m_attempts;
    std::vector<double> m_times;
    load_result m_result;
};

} // namespace crowlink::test
