#pragma once

#include "crowlink/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace crowlink
{

// Decides whether a link that bulk flows share fairly can still carry another
// one in time: each that is active takes as much as the new one until that has
// sent the mean of those that ended. Its state is soft: a flow that it does not
// know becomes active with its next packet.
class bulk_admission
{
public:
    // Beyond, the flow that was active the longest time ago is forgotten.
    static constexpr std::size_t max_flows = 4096;
    // Assumed before any flow has ended, and replaced by the first that does.
    // With 40,000 B, a rush onto a host that had just started was served late.
    static constexpr double first_mean = 50'000.0;

    // Whether a new flow would need longer than the aim at this rate. One flow
    // is always admitted.
    bool is_full(time_point now, duration aim, double bytes_per_second);
    bool knows(std::uint64_t flow) const { return m_flows.count(flow) > 0; }
    // A flow opens; has no effect on a flow that is known.
    void open(time_point now, std::uint64_t flow);
    // A packet of the flow was sent.
    void note_sent(time_point now, std::uint64_t flow, std::size_t size);
    // The flow has sent all its data.
    void note_finished(std::uint64_t flow);
    // The flow was refused or reset: it sends no more, and says nothing about
    // the mean.
    void note_aborted(std::uint64_t flow);

    std::size_t active_flows(time_point now) const;
    double mean_bytes() const { return m_mean; }
    std::size_t flows() const { return m_flows.size(); }

private:
    struct flow_state
    {
        std::uint64_t flow = 0;
        time_point last{};
        double sent = 0.0;
        // Known since its opening packet, so that all its bytes are seen.
        bool is_whole = false;
        bool is_finished = false;
    };
    using state_list = std::list<flow_state>;

    bool is_active(const flow_state& state, time_point now) const;
    void add(const flow_state& state);
    void close_idle(time_point now);
    void remove(state_list::iterator state);
    void note_size(const flow_state& state);

    double m_mean = first_mean;
    std::uint32_t m_ended = 0;
    // The least recently active first.
    state_list m_by_activity;
    std::unordered_map<std::uint64_t, state_list::iterator> m_flows;
};

} // namespace crowlink
