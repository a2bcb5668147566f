#pragma once

#include "crowlink/agent.hpp"
#include "crowlink/base/random.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace crowlink::test
{

// The behaviour of a mesh's network.
struct mesh_settings
{
    std::uint32_t upstreams = 7;
    std::uint32_t balancers = 3;
    double loss = 0.0;
    // The one-way delay between hosts; drawn uniformly, so that packets
    // overtake each other.
    duration min_delay = std::chrono::microseconds(300);
    duration max_delay = std::chrono::milliseconds(3);
    // The maximum time by which a node gets a view later than control.
    duration max_lag = std::chrono::seconds(2);
    service declared;
    agent_settings agents;
    std::uint64_t seed = 1;
};

// Several agents with fake upstreams, balancers that know only their views, and
// callers, over an in-memory network. They are compared with a naive reference
// with full knowledge: one table from each flow to the upstream that first ran
// it.
class mesh
{
public:
    struct caller_state
    {
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        std::uint64_t refused = 0;
        std::uint64_t reset = 0;
        flow_refusal last_told;
        std::set<std::uint32_t> refused_requests;
    };

    explicit mesh(const mesh_settings& settings);

    time_point now() const { return m_now; }
    void run(duration time);

    // Sends a caller's datagram of a flow, with a request number of its own,
    // and returns the number.
    std::uint32_t call(std::uint32_t flow, packet_role role = packet_role::any);
    static flow_key key(std::uint32_t flow);
    const caller_state& caller(std::uint32_t flow) { return m_callers[flow]; }

    // Planned changes; nodes learn of each after different delays.
    std::size_t join();
    void drain(std::size_t index, bool on);
    void leave(std::size_t index);
    void set_weight(std::size_t index, std::uint32_t weight);
    // Ends a draining upstream that has no flow left.
    void retire_if_idle(std::size_t index);
    // Restarts the agent beside its running upstream.
    void restart_agent(std::size_t index);
    void replace_balancer(std::size_t index);
    // Ends a balancer without notice.
    void kill_balancer(std::size_t index);
    // Unplanned changes.
    void kill_upstream(std::size_t index);
    // Starts another upstream at the address of a failed one.
    void start_new_incarnation(std::size_t index);
    void set_answering(std::size_t index, bool on);
    // Control no longer hears the agent and sends it no views. Its lease has
    // expired for all others; it continues to serve unless it is dead.
    void cut_from_control(std::size_t index, bool is_dead);
    void return_to_control(std::size_t index);
    // Sends a packet from the upstream that has the flow.
    void send_from_upstream(std::uint32_t flow);

    std::size_t nodes() const { return m_nodes.size(); }
    bool alive(std::size_t node) const { return m_nodes[node].alive; }
    agent& agent_of(std::size_t node) { return *m_nodes[node].core; }
    const upstream_record& record(std::size_t node) const
    {
        return m_nodes[node].record;
    }
    std::vector<std::size_t> owners(std::uint32_t flow);
    // Whether an upstream ran this request, by the upstream's own record.
    bool ran(std::uint32_t request) const;

    // Packets that reached another upstream than the reference has for their
    // flow, or a later incarnation of it.
    std::uint64_t misplaced = 0;
    std::uint64_t forwards = 0;
    std::uint64_t messages = 0;
    std::vector<flow_decision> decisions;
    agent_counts total() const;

private:
    struct node_effects;
    struct member_node
    {
        upstream_record record;
        std::unique_ptr<agent> core;
        bool alive = true;
        bool answering = true;
        bool is_silent = false;
        time_point view_known{};
        std::set<flow_key> open;
        std::set<std::uint32_t> requests;
    };
    struct balancer
    {
        endpoint address;
        std::shared_ptr<const forwarding_table> current;
        std::shared_ptr<const forwarding_table> previous;
        time_point view_known{};
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

    void at(time_point when, std::function<void()> run);
    void over_network(std::function<void()> run);
    duration draw(duration least, duration most);
    void start_agent(std::size_t index);
    void tick_node(std::size_t index, std::uint64_t agent_start);
    void publish();
    std::shared_ptr<const service_view> view() const;
    void arrive(const endpoint& to, const packet_header& header,
                const std::vector<std::uint8_t>& payload);
    void run_at_upstream(std::size_t index, const flow_key& flow,
                         payload_view payload);
    template <class Event>
    void handle(std::size_t index, const Event& event);
    std::size_t node_at(const endpoint& address) const;
    bool takes_answers(const endpoint& address) const;

    mesh_settings m_settings;
    seeded_random m_random;
    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_order = 0;
    std::uint32_t m_requests = 0;
    std::uint64_t m_incarnations = 0;
    std::priority_queue<timed_event> m_events;
    std::vector<member_node> m_nodes;
    std::vector<std::uint64_t> m_agent_starts;
    std::vector<balancer> m_balancers;
    // Draining balancers, which still forward answers until the given times.
    std::map<endpoint, time_point> m_retired;
    std::map<std::uint32_t, caller_state> m_callers;
    std::map<flow_key, std::uint32_t> m_numbers;
    // The reference: the upstream and the incarnation that first ran each flow.
    std::map<flow_key, std::pair<std::size_t, std::uint64_t>> m_reference;
};

} // namespace crowlink::test
