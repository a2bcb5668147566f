#pragma once

#include "agent_shell.hpp"
#include "fake_control.hpp"
#include "simulation.hpp"

#include "crowlink/balancer.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace crowlink::placement
{

// The real thing: each packet goes through a balancer's traffic path, in bytes
// as on the network, to the agents, which are the real ones too. Arms that
// switch a part off do it by settings, or by leaving out what the part sends.
class crowlink_policy : public simulation::policy
{
public:
    explicit crowlink_policy(simulation& world);

    void packet(const flow_key& flow, const packet_text& text) override;
    void answered(std::size_t upstream, const flow_key& flow,
                  const packet_text& text) override;
    void refused(std::size_t upstream, const flow_key& flow,
                 const packet_text& text) override;
    void work_started(std::size_t upstream) override;
    void work_ended(std::size_t upstream, bool completed) override;
    void started(std::size_t upstream) override;
    void leaving(std::size_t upstream) override;
    void ended(std::size_t upstream) override;
    void crashed(std::size_t upstream) override;
    void agent_restarted(std::size_t upstream) override;
    void balancer_replaced(std::size_t which) override;
    void balancer_crashed(std::size_t which) override;
    void tick() override;

    // For agent shells: what comes from other hosts.
    fake_control& control() { return m_control; }
    void send_packet(const endpoint& to, const packet_header& header,
                     const packet_text& text);
    void send_message(const endpoint& from, const endpoint& to,
                      const peer_message& message);
    // Whether the balancer at this address still runs.
    bool runs(const endpoint& address) const;

private:
    struct balancer_node
    {
        endpoint address;
        std::size_t subscription = 0;
        balancer control_side;
        traffic_path traffic;
        // In the fabric, and able to forward answers.
        bool running = true;
    };

    void add_balancer(std::size_t place);
    void stop(const endpoint& address);
    void tell_balancers();
    void refuse_at_balancer(const flow_key& flow, const packet_text& text);
    agent_settings settings_of(std::size_t upstream) const;

    simulation& m_world;
    fake_control m_control;
    datagram_codec m_codec;
    // All balancers that ever were, and those that the fabric sprays over.
    std::vector<std::unique_ptr<balancer_node>> m_balancers;
    std::vector<std::size_t> m_fabric;
    std::vector<std::unique_ptr<agent_shell>> m_agents;
    std::vector<std::uint64_t> m_lives;
    std::vector<std::uint8_t> m_buffer;
};

} // namespace crowlink::placement
