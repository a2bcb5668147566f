#pragma once

#include "simulation.hpp"

#include "crowlink/model/service_view.hpp"
#include "crowlink/model/upstream_record.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace crowlink::placement
{

// The address of the agent beside an upstream; its last two bytes are the
// upstream's number.
endpoint agent_address(std::size_t upstream);
std::size_t upstream_at(const endpoint& agent);
endpoint balancer_address(std::size_t which);

// Stands for control: keeps the newest record of each upstream and brings each
// change to every node after a time of its own, in order for one node.
class fake_control
{
public:
    using view_pointer = std::shared_ptr<const service_view>;
    using receiver = std::function<void(const view_pointer&)>;

    explicit fake_control(simulation& world);

    // How all services share; for arms that switch a part off.
    void set_sharing(const sharing_policy& sharing) { m_sharing = sharing; }
    void set_balancers(std::vector<endpoint> balancers);

    // Takes a record unless it holds a newer one.
    void publish(const upstream_record& record);
    // The lease of an upstream ran out.
    void expire(std::size_t upstream);

    // Adds a node that gets the current views at once and all later ones.
    std::size_t subscribe(receiver take);
    // The node is gone; nothing more is brought to it.
    void unsubscribe(std::size_t index) { m_nodes[index].take = nullptr; }

    view_pointer view_of(std::size_t service) const;

    // The record with which an upstream's new life begins.
    upstream_record first_record(std::size_t upstream,
                                 std::uint64_t life) const;

private:
    struct node
    {
        receiver take;
        time_point busy_until{};
    };

    void distribute(std::size_t service);

    simulation& m_world;
    seeded_random m_random;
    sharing_policy m_sharing;
    std::vector<upstream_record> m_records;
    std::vector<endpoint> m_balancers;
    std::vector<node> m_nodes;
};

} // namespace crowlink::placement
