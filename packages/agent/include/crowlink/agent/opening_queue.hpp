#pragma once

#include "crowlink/agent/completion_estimate.hpp"
#include "crowlink/agent/held_opening.hpp"
#include "crowlink/agent/hold_plan.hpp"
#include "crowlink/agent/host_fairness.hpp"
#include "crowlink/agent/level_turns.hpp"
#include "crowlink/base/flow_key.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crowlink::internal
{

// The opening packets that wait for room at the upstream, at most one for each
// flow. What can be in time starts before what is late, urgent levels before
// others, and within a level entry hosts take turns.
class opening_queue
{
public:
    static constexpr std::size_t max_openings = 256;
    static constexpr std::size_t max_bytes = 64 * 1024;

    // The order of starts and what becomes of each packet. The plan refers to
    // the packets and is valid until the queue changes.
    hold_plan plan(time_point now, const completion_estimate& estimate) const;
    // What would become of one more packet.
    planned_opening plan_for(time_point now,
                             const completion_estimate& estimate,
                             const held_opening& added) const;

    // Adds a packet of a flow that is not held yet.
    void add(held_opening opening);
    held_opening* find(const flow_key& flow);
    // Removes a packet because it starts, or for another reason.
    held_opening start(const flow_key& flow);
    std::optional<held_opening> remove(const flow_key& flow);
    // In the order of arrival.
    std::vector<held_opening> take_all();

    bool empty() const { return m_openings.empty(); }
    std::size_t size() const { return m_openings.size(); }

private:
    using level_lists =
        std::map<std::uint32_t, std::vector<const held_opening*>>;

    level_lists arrange(const held_opening* added) const;
    hold_plan plan_with(time_point now, const completion_estimate& estimate,
                        const held_opening* added) const;
    std::vector<std::uint32_t> levels() const;

    // In the order of arrival.
    std::list<held_opening> m_openings;
    std::unordered_map<flow_key, std::list<held_opening>::iterator> m_by_flow;
    level_turns m_turns;
    std::map<std::uint32_t, host_fairness> m_fairness;
};

} // namespace crowlink::internal
