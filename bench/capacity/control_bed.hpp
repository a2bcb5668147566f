#pragma once

#include "crowlink/membership.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace crowlink::capacity
{

// What went over the network between a control host and others.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

// One observer with its publisher, and nodes that subscribe to it. Messages
// pass in memory; time moves in the steps of the shells.
class control_bed
{
public:
    static constexpr duration step = std::chrono::milliseconds(100);

    explicit control_bed(std::size_t peers = 0);

    // Declares services and announces so many upstreams of each.
    void announce(std::size_t services, std::size_t members);
    // One upstream's renewal, as its agent sends it.
    void renew(std::size_t service, std::size_t upstream);
    // An upstream announces anew; nodes hear of it with the next steps.
    void change(std::size_t service, std::size_t upstream,
                std::uint64_t sequence);

    // Moves time until the observer serves nodes: without peers it waits.
    void get_ready();
    // Nodes that want everything or one service, not yet attached.
    void add_nodes(std::size_t count, bool all_services);
    // Moves time until all nodes know everything that they want.
    void settle();
    void run(duration time);
    // One step of the control host alone; what it sends is dropped.
    void tick_host();

    membership_host& host() { return m_host; }
    subscriber& node(std::size_t index) { return *m_nodes.at(index); }
    time_point now() const { return m_now; }
    // From the host to the nodes, and from nodes to the host.
    const traffic& to_nodes() const { return m_to_nodes; }
    const traffic& from_nodes() const { return m_from_nodes; }
    const traffic& to_peers() const { return m_to_peers; }
    // The views that the first node yielded, kept until they are taken.
    std::vector<service_view> take_views();
    // Whether the nodes' own work is left out: their messages are dropped.
    void mute_nodes(bool muted) { m_muted = muted; }

private:
    void tick_nodes();
    void deliver(const std::vector<membership_send>& sends);
    void answer(std::size_t node, subscriber_output out);

    std::vector<observer_info> m_peers;
    time_point m_now{};
    membership_host m_host;
    std::vector<std::unique_ptr<subscriber>> m_nodes;
    std::map<host_id, std::size_t> m_names;
    traffic m_to_nodes;
    traffic m_from_nodes;
    traffic m_to_peers;
    std::vector<service_view> m_views;
    bool m_muted = false;
};

} // namespace crowlink::capacity
