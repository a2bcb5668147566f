#pragma once

#include "crowlink/membership.hpp"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace crowlink::bench
{

// The cores of a whole system in one process and in simulated time: one
// control host in each place, all announcers, and some watched nodes that want
// everything. Messages arrive with the next step of 100 ms.
class large_system
{
public:
    struct sizes
    {
        std::size_t regions = 4;
        std::size_t places = 12;
        std::size_t upstreams = 28000;
        std::size_t services = 1500;
        // Together at most 20 KB in any second.
        std::uint32_t bytes_a_second = 16000;
        std::uint32_t burst_bytes = 4000;
    };
    using filter = std::function<bool(const host_id&, const host_id&)>;

    explicit large_system(const sizes& size);

    void step();
    void run(duration time);

    // Runs until the condition holds or the limit has passed; yields the
    // simulated seconds.
    double run_until(const std::function<bool()>& holds, duration limit);

    void change_document();
    void restart_upstream(std::size_t index);
    void kill_upstream(std::size_t index);
    void cut(filter drops) { m_drops = std::move(drops); }

    // Whether every node knows this document and no record that differs from
    // the announcers'.
    bool document_in_force() const;
    bool members_known() const;

    // Whether a node shows any member of the place.
    bool shows(const place_id& where) const;

    std::size_t living_announcers() const;
    region_id region_of(std::size_t place) const;
    place_id place(std::size_t index) const;
    place_id place_of_upstream(std::size_t index) const;
    host_id control(std::size_t place) const;
    host_id node(std::size_t region) const;
    host_id agent(std::size_t upstream) const;
    void kill_control(std::size_t place) { m_controls[place].reset(); }

    // The most bytes that a watched node received or sent in one second, and
    // its total, since the last reset.
    void reset_bytes();
    double peak_bytes_a_second() const { return m_peak; }
    double node_bytes() const;
    // Parts that the watched nodes got.
    std::size_t node_messages() const { return m_node_messages; }
    // Bytes between control hosts, per host.
    double control_bytes() const;
    double agent_bytes() const;

private:
    struct flight
    {
        host_id from;
        membership_send what;
    };

    void post(const host_id& from, std::vector<membership_send> sends);
    void deliver();
    void meter();

    sizes m_size;
    time_point m_now{std::chrono::hours(1)};
    seeded_random m_random{42};
    std::vector<observer_info> m_infos;
    std::vector<std::unique_ptr<membership_host>> m_controls;
    std::vector<std::unique_ptr<announcer>> m_announcers;
    std::vector<std::unique_ptr<subscriber>> m_nodes;
    std::unordered_map<host_id, std::size_t> m_agents_by_id;
    std::vector<flight> m_flying;
    filter m_drops;
    system_document m_document;
    config_version m_version{1};
    std::vector<double> m_last_bytes;
    std::vector<double> m_first_bytes;
    double m_peak = 0;
    double m_control_bytes = 0;
    double m_agent_bytes = 0;
    std::size_t m_node_messages = 0;
    int m_steps = 0;
};

} // namespace crowlink::bench
