#pragma once

#include "simulation.hpp"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace crowlink::placement
{

// One decision maker that remembers every flow. The omniscient arm sends a new
// flow to the upstream with the fewest open flows at this moment; the
// reported_load arm to the better of two by what load endpoints said last.
class global_policy : public simulation::policy
{
public:
    explicit global_policy(simulation& world);

    void packet(const flow_key& flow, const packet_text& text) override;
    void answered(std::size_t upstream, const flow_key& flow,
                  const packet_text& text) override;
    void refused(std::size_t upstream, const flow_key& flow,
                 const packet_text& text) override;
    void work_started(std::size_t /*upstream*/) override {}
    void work_ended(std::size_t /*upstream*/, bool /*completed*/) override {}
    void started(std::size_t upstream) override;
    void leaving(std::size_t /*upstream*/) override {}
    void ended(std::size_t /*upstream*/) override {}
    void crashed(std::size_t /*upstream*/) override {}
    void agent_restarted(std::size_t /*upstream*/) override {}
    void balancer_replaced(std::size_t /*which*/) override {}
    void balancer_crashed(std::size_t /*which*/) override {}
    void tick() override;

private:
    // The upstream for a new flow, or none.
    std::size_t choose(std::size_t service);
    std::size_t least_loaded(std::size_t service) const;
    std::size_t better_of_two(std::size_t service);
    // The flow no longer counts as open; where it was stays known, for a
    // caller that repeats its last request.
    void release(std::uint32_t flow);

    struct placed_flow
    {
        std::size_t upstream = 0;
        bool open = true;
    };

    simulation& m_world;
    std::unordered_map<std::uint32_t, placed_flow> m_flows;
    std::vector<std::size_t> m_open;
    std::vector<std::size_t> m_reported;
    unsigned m_ticks = 0;
};

} // namespace crowlink::placement
