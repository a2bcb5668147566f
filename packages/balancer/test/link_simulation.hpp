#pragma once

#include "crowlink/balancer/egress_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace crowlink
{

// What the callers of one kind of request got.
struct caller_results
{
    std::uint64_t requests = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    // How long the served ones took, in ms.
    std::vector<double> took;

    double in_time_share() const;
    double refused_share() const;
    double p99() const;
};

// One kind of request, of callers that behave as those of the platform: an
// opening packet, 16 packets in flight, each sent again after 200 ms and then
// after twice the last time, up to 1.6 s.
struct request_load
{
    std::optional<route_terms> terms;
    std::size_t size = 0;
    double per_second = 0.0;
};

// Plays requests of callers through an entry host and its link, without a
// network. Without a scheduler, packets go straight to the link. The link is a
// FIFO queue of its own with a bounded buffer.
class link_simulation
{
public:
    explicit link_simulation(double link_mbps) : m_link_rate(link_mbps * 125e3)
    {
    }

    // Puts a scheduler in front of the link; `figure` is what it is told.
    void schedule(double figure_mbps) { m_scheduler.emplace(figure_mbps); }
    // The host restarts at this time and loses its queues.
    void restart_at(double time, double figure_mbps);
    // The host does not run in a part of every period.
    void throttle(double period, double stopped);
    // Adds a kind of request that arrives from one time to another.
    std::size_t add(const request_load& load, double from, double until);
    void run(double until);

    const caller_results& results(std::size_t kind) const
    {
        return m_results[kind];
    }
    // The longest time that a sent packet has waited on the host.
    double longest_wait() const { return m_longest_wait; }
    // How many bytes the link carried, over what it could from first to last.
    double link_use() const;
    const egress_scheduler& scheduler() const { return *m_scheduler; }
    std::uint64_t queued_packets() const { return m_queued; }

private:
    struct request
    {
        std::size_t kind = 0;
        double start = 0.0;
        std::uint32_t packets = 0;
        std::uint32_t next = 0;
        std::uint32_t done = 0;
        // How often each packet was sent; 0 once it is acknowledged.
        std::vector<std::uint32_t> tries;
        bool is_open = false;
        bool is_over = false;
    };

    void at(double time, std::function<void()> action);
    time_point now() const;
    void start_request(std::size_t kind, double until);
    void send_opening(std::uint64_t id, std::uint32_t copy);
    void send_data(std::uint64_t id, std::uint32_t number);
    void fill_window(std::uint64_t id);
    void offer(std::uint64_t id, std::uint32_t number, packet_role role,
               bool may_be_refused, std::size_t payload);
    void drain();
    void to_link(std::uint64_t id, std::uint32_t number, std::size_t size);
    void arrived(std::uint64_t id, std::uint32_t number);
    void finish(std::uint64_t id);
    void give_up(std::uint64_t id);
    bool is_stopped() const;

    double m_link_rate;
    std::optional<egress_scheduler> m_scheduler;
    double m_now = 0.0;
    std::multimap<double, std::function<void()>> m_events;
    std::mt19937_64 m_random{20261204};
    std::vector<request_load> m_loads;
    std::vector<caller_results> m_results;
    std::map<std::uint64_t, request> m_requests;
    std::uint64_t m_next_id = 0;
    double m_link_free = 0.0;
    double m_link_bytes = 0.0;
    double m_first_send = -1.0;
    double m_last_send = 0.0;
    double m_longest_wait = 0.0;
    double m_next_drain = -1.0;
    double m_period = 0.0;
    double m_stopped = 0.0;
    std::uint64_t m_queued = 0;
};

} // namespace crowlink
