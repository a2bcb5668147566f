#pragma once

#include "fake_control.hpp"
#include "simulation.hpp"

#include "crowlink/forwarding/forwarding_table.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace crowlink::placement
{

// Balancers without agents: each picks an upstream for each packet by the
// flow's hash, from the members that it knows of. The naive arm takes the hash
// modulo the list, the rendezvous arm the head of the real table's chain.
class list_policy : public simulation::policy
{
public:
    explicit list_policy(simulation& world);

    void packet(const flow_key& flow, const packet_text& text) override;
    void answered(std::size_t upstream, const flow_key& flow,
                  const packet_text& text) override;
    void refused(std::size_t upstream, const flow_key& flow,
                 const packet_text& text) override;
    void work_started(std::size_t /*upstream*/) override {}
    void work_ended(std::size_t /*upstream*/, bool /*completed*/) override {}
    void started(std::size_t upstream) override;
    void leaving(std::size_t upstream) override;
    void ended(std::size_t upstream) override;
    void crashed(std::size_t upstream) override;
    void agent_restarted(std::size_t /*upstream*/) override {}
    void balancer_replaced(std::size_t which) override;
    void balancer_crashed(std::size_t which) override;
    void tick() override {}

private:
    struct balancer_node
    {
        std::size_t subscription = 0;
        // By service.
        std::vector<std::shared_ptr<const service_view>> views;
        std::vector<std::shared_ptr<const forwarding_table>> tables;
    };

    void add_balancer(std::size_t which);
    std::size_t choose(const balancer_node& at, const flow_key& flow,
                       std::size_t service) const;
    void announce(std::size_t upstream, upstream_state state);

    simulation& m_world;
    fake_control m_control;
    std::vector<std::unique_ptr<balancer_node>> m_balancers;
    std::vector<upstream_record> m_records;
};

} // namespace crowlink::placement
