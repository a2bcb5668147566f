#pragma once

#include "crowlink/base/error.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/model/sharing_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink::placement
{

// What a run leaves out or replaces.
enum class arm : std::uint8_t
{
    full,
    no_hand_off,
    no_redirects,
    no_previous_chain,
    no_ramp,
    no_stall_detection,
    // Hash modulo the list of ready upstreams; flows move with the list.
    naive,
    // The head of the rendezvous order; no agents.
    rendezvous,
    // Perfect knowledge of the least loaded upstream and of every flow.
    omniscient,
    // The better of two by what their load endpoints said a second ago.
    reported_load,
};

std::string_view to_string(arm value);

struct service_settings
{
    std::string name;
    std::size_t upstreams = 1;
    // The share of its connections that is open in the steady state.
    double load = 0.6;
    service_goal goal = service_goal::balance;
};

enum class fault_kind : std::uint8_t
{
    // All upstreams drain, end and start again, `count` at a time.
    rolling_restart,
    // A balancer is taken out of the fabric and another one joins.
    replace_balancer,
    // An upstream says that it is ready and idle, and answers nothing.
    stall,
    // An upstream's load endpoint says that it is idle.
    lie,
    // An upstream ends without notice; its host lives.
    crash_upstream,
    // A balancer ends without notice, with the packets that it holds.
    crash_balancer,
    // An agent starts anew while its upstream lives on.
    restart_agent,
};

struct fault
{
    fault_kind kind = fault_kind::stall;
    duration at{};
    std::size_t service = 0;
    // The upstream within its service, or the balancer.
    std::size_t which = 0;
    std::size_t count = 1;
    duration lasts{};
};

// One item draws a share of all new flows.
struct surge
{
    duration at{};
    duration ramp{};
    double share = 0.0;
    // All new flows of the system, relative to before.
    double growth = 1.0;
    std::size_t service = 0;
};

// One experiment, as its settings file says it.
struct experiment
{
    std::string name;
    std::uint64_t seed = 1;
    duration length{};
    duration warm_up{};
    std::size_t balancers = 3;
    std::vector<service_settings> services;
    std::uint32_t slots = 4;
    std::uint32_t connections = 2000;
    duration caller_delay{};
    duration host_delay{};
    // Flow lifetimes are Pareto distributed between the bounds.
    double least_lifetime = 5.0;
    double most_lifetime = 600.0;
    double tail = 1.2;
    // The mean time from an answer to the flow's next request.
    double think_seconds = 10.0;
    double service_seconds = 0.02;
    // A started upstream works this many times slower, falling to 1.
    double cold_slowdown = 3.0;
    duration cold_start{};
    // A view reaches a node after a time between these.
    duration least_view_delay{};
    duration most_view_delay{};
    surge rush;
    std::vector<fault> faults;
    std::vector<arm> arms;
};

// Reads JSON with comments: what a deployment's experiments have in common, and
// a list of scenarios, each laid over that by a merge patch (RFC 7396). An
// error names the value.
result<std::vector<experiment>> read_experiments(std::string_view text);

} // namespace crowlink::placement
