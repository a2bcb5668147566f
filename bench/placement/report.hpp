#pragma once

#include "experiment.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace crowlink::placement
{

// The balance of one service over a run: the most loaded upstream against the
// mean, of those that serve, are not stalled and are past their cold start.
struct balance_report
{
    std::string service;
    // By open flows: the average over time, and the worst moment.
    double flows_mean = 1.0;
    double flows_worst = 1.0;
    // The average again, over the upstreams in their cold start as well.
    double flows_mean_all = 1.0;
    // By requests that run or wait, average over time.
    double requests_mean = 1.0;

    friend bool operator==(const balance_report&,
                           const balance_report&) = default;
};

// What one arm of an experiment came to.
struct arm_report
{
    arm mode = arm::full;
    std::uint64_t flows = 0;
    std::uint64_t requests = 0;
    std::uint64_t answers = 0;
    // Open flows that were reset or went unanswered: with their upstream alive
    // and not stalled, and otherwise.
    std::uint64_t broken_planned = 0;
    std::uint64_t broken_unplanned = 0;
    // Of the planned ones, those that were never told.
    std::uint64_t broken_silently = 0;
    std::uint64_t refusals = 0;
    // Callers that were refused for the last time.
    std::uint64_t refused_for_good = 0;
    std::uint64_t retries = 0;
    // First requests that may have run, by the verdict given.
    std::uint64_t unknown_outcome = 0;
    std::uint64_t doubled = 0;
    // Verdicts of not_run against the upstream's own record.
    std::uint64_t not_run_checked = 0;
    std::uint64_t not_run_false = 0;
    // Requests that ran while their caller was told nothing to the end.
    std::uint64_t lost = 0;
    std::uint64_t wrong_service = 0;
    // Packets that were given to an upstream without the flow.
    std::uint64_t misdelivered = 0;
    // Datagrams from host to host, and of these such as are not packets.
    std::uint64_t host_datagrams = 0;
    std::uint64_t control_datagrams = 0;
    std::uint64_t unfinished_restarts = 0;
    // Seconds from a request's first sending to its answer.
    double answer_median = 0.0;
    double answer_p99 = 0.0;
    double answer_p999 = 0.0;
    std::vector<balance_report> balance;

    friend bool operator==(const arm_report&, const arm_report&) = default;
};

// The reports of an experiment's arms as JSON text.
std::string to_json(const experiment& settings,
                    const std::vector<arm_report>& reports);

} // namespace crowlink::placement
