#pragma once

#include "agent/passing_request.hpp"
#include "crowlink/agent/agent_counts.hpp"
#include "crowlink/agent/flow_decision.hpp"
#include "crowlink/agent/opening_counts.hpp"
#include "crowlink/base/log_line.hpp"
#include "crowlink/base/metrics.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/model/upstream_record.hpp"
#include "crowlink/requests/admission_effects.hpp"

#include <cstdint>
#include <map>

namespace crowlink::internal
{

// What one agent's thread has counted.
struct agent_totals
{
    std::size_t flows = 0;
    std::size_t redirects = 0;
    // In millionths of what the upstream can take.
    std::uint32_t load = 0;
    // The mean time that a request occupies a slot, zero while unknown, and its
    // ratio to that of the peers.
    duration service_time{};
    std::uint32_t relative_time_permille = 0;
    agent_counts counts;
    // Opening packets that wait, and what became of them by priority.
    std::size_t held = 0;
    std::map<std::uint32_t, opening_counts> openings;
    // Datagrams that were no message of ours, that the kernel did not take,
    // and payloads that did not reach the upstream.
    std::uint64_t undecodable = 0;
    std::uint64_t handed_on = 0;
    std::uint64_t unsent = 0;
    std::uint64_t undelivered = 0;
};

// As counters named crowlink_agent_*, labelled with the upstream.
metrics to_metrics(const upstream_record& self, const agent_totals& totals);

// What is decided anew for each packet is of interest only in detail.
log_level level_of(flow_action action);

// The log line of a decision on a flow, or on a request.
log_line to_log_line(const upstream_record& self,
                     const flow_decision& decision);
log_line to_log_line(const upstream_record& self,
                     const admission_decision& decision);
// The log line of a step of a request that passed by.
log_line to_log_line(const upstream_record& self,
                     const passing_request& request);

} // namespace crowlink::internal
