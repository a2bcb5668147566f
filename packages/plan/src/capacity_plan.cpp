#include "crowlink/plan/capacity_plan.hpp"

#include "crowlink/plan/deployment.hpp"
#include "crowlink/plan/host_limits.hpp"
#include "crowlink/plan/measured_costs.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace crowlink
{

namespace
{

constexpr double ns_per_second = 1.0e9;
constexpr double seconds_per_day = 86400.0;
constexpr double seconds_per_minute = 60.0;
// The interval at which agents renew leases and nodes renew subscriptions.
constexpr double renewal_seconds = 2.0;
// Upper bound of the measured sizes of a renewal with its transport framing.
constexpr double renewal_bytes = 256.0;
// A restart is published as leaving, gone and ready; a failure as gone and
// ready.
constexpr double events_per_restart = 3.0;
constexpr double events_per_failure = 2.0;
constexpr std::uint64_t min_voters = 3;
constexpr std::uint64_t max_voters = 5;
constexpr std::uint64_t min_entry_hosts = 2;
// Voters and observers share hosts if their utilization of the planned
// processor time is below this.
constexpr double max_shared_utilization = 0.25;
// Observers run failure detection and publish changes ten times per second.
constexpr double ticks_per_second = 10.0;
// The maximum number of nodes attached to one observer.
constexpr double sessions_per_observer = 4096.0;
// Lower bound of the cores left for shared load. Keeps the number of observers
// finite if the per-observer load alone exceeds the host's capacity.
constexpr double min_available_cores = 0.01;

double members_per_service(const deployment& sizes)
{
    return static_cast<double>(sizes.upstreams) /
           static_cast<double>(sizes.services);
}

// The rate of document and membership changes in the busiest minute.
double peak_changes_per_second(const deployment& sizes)
{
    const double membership = (events_per_restart * sizes.restarts_per_day +
                               events_per_failure * sizes.failures_per_day) /
                              seconds_per_day;
    const double document =
        std::max(sizes.changes_per_day / seconds_per_day,
                 sizes.burst_changes_per_minute / seconds_per_minute);
    return membership + document;
}

// Cores that all entry hosts use for packets: one routing decision per caller's
// packet, and one receive and send in each direction.
double packet_cores(const deployment& sizes, const measured_costs& costs)
{
    const double decision =
        costs[cost::balancer_packet_ns].at(members_per_service(sizes));
    const double packet_io =
        2.0 * costs[cost::packet_io_ns].at(sizes.bytes_per_packet);
    return sizes.packets_per_second * (decision + packet_io) / ns_per_second;
}

// Bytes per second in one direction of the links of all entry hosts.
double packet_bytes(const deployment& sizes)
{
    return 2.0 * sizes.packets_per_second * sizes.bytes_per_packet;
}

// The number of hosts at which enough remain after the loss of one data centre,
// or of one host if there is only one data centre.
std::uint64_t with_redundancy(double needed, std::uint64_t places)
{
    const double at_least_one = std::max(std::ceil(needed), 1.0);
    const auto hosts = static_cast<std::uint64_t>(at_least_one);
    if (places < 2)
    {
        return std::max(hosts + 1, min_entry_hosts);
    }
    const auto survivors = places - 1;
    const auto hosts_per_place = (hosts + survivors - 1) / survivors;
    return hosts_per_place * places;
}

double after_place_lost(std::uint64_t hosts, std::uint64_t places)
{
    const double lost = places < 2 ? 1.0
                                   : std::ceil(static_cast<double>(hosts) /
                                               static_cast<double>(places));
    return std::max(static_cast<double>(hosts) - lost, 1.0);
}

std::uint64_t entry_hosts_for(const deployment& sizes, const host_limits& host,
                              const measured_costs& costs)
{
    if (sizes.entry_hosts != 0)
    {
        return sizes.entry_hosts;
    }
    const double by_processor =
        packet_cores(sizes, costs) / (host.cores * host.planned_share);
    const double by_network =
        packet_bytes(sizes) /
        (host.network_bytes_per_second * host.planned_share);
    return with_redundancy(std::max(by_processor, by_network), sizes.places);
}

// The load of the observers: a part that is divided among them, and a part that
// each observer has, since each one stores every record.
struct observer_load
{
    double shared_cores = 0.0;
    double per_observer_cores = 0.0;
    double shared_bytes_per_second = 0.0;
    // The number of subscribed balancers and agents.
    double sessions = 0.0;
};

observer_load compute_observer_load(const deployment& sizes, double nodes,
                                    const measured_costs& costs)
{
    const auto upstreams = static_cast<double>(sizes.upstreams);
    const double renewals = (upstreams + nodes) / renewal_seconds;
    const double changes = peak_changes_per_second(sizes);
    // All balancers subscribe to every change, agents only to those of their
    // service.
    const double subscribers = nodes + members_per_service(sizes);
    observer_load load;
    load.sessions = nodes + upstreams;
    load.shared_cores =
        (renewals * costs[cost::observer_renewal_ns].at(upstreams) +
         changes * costs[cost::observer_push_ns].at(subscribers) +
         ticks_per_second *
             costs[cost::observer_node_tick_ns].at(load.sessions)) /
        ns_per_second;
    load.per_observer_cores = ticks_per_second *
                              costs[cost::observer_tick_ns].at(upstreams) /
                              ns_per_second;
    load.shared_bytes_per_second =
        renewals * renewal_bytes +
        changes * costs[cost::observer_push_bytes].at(subscribers) +
        load.sessions * costs[cost::node_idle_bytes].per_unit;
    return load;
}

std::uint64_t observers_for(const observer_load& load, const host_limits& host,
                            std::uint64_t places)
{
    const double available_cores =
        std::max(host.cores * host.planned_share - load.per_observer_cores,
                 min_available_cores);
    const double by_processor = load.shared_cores / available_cores;
    const double by_network =
        load.shared_bytes_per_second /
        (host.network_bytes_per_second * host.planned_share);
    const double by_sessions = load.sessions / sessions_per_observer;
    return with_redundancy(std::max({by_processor, by_network, by_sessions}),
                           places);
}

void add_entry_limits(capacity_plan& plan, const deployment& sizes,
                      const host_limits& host, const measured_costs& costs)
{
    const double remaining_hosts =
        after_place_lost(plan.entry_hosts, sizes.places);
    const double tables =
        static_cast<double>(sizes.services) *
        costs[cost::table_bytes].at(members_per_service(sizes));
    plan.limits.push_back({limit::entry_processor,
                           packet_cores(sizes, costs) / remaining_hosts,
                           host.cores * host.planned_share});
    plan.limits.push_back({limit::entry_network,
                           packet_bytes(sizes) / remaining_hosts,
                           host.network_bytes_per_second * host.planned_share});
    plan.limits.push_back(
        {limit::entry_memory, tables, host.memory_bytes * host.planned_share});
}

void add_node_limits(capacity_plan& plan, const deployment& sizes,
                     const host_limits& host, const measured_costs& costs)
{
    const double members = members_per_service(sizes);
    const double changes = peak_changes_per_second(sizes);
    const double change_ns =
        costs[cost::node_change_ns].at(members) +
        costs[cost::balancer_change_ns].at(static_cast<double>(sizes.services));
    const double change_bytes = costs[cost::node_change_bytes].at(1.0);
    const double idle_bytes = costs[cost::node_idle_bytes].per_unit;
    const double state =
        costs[cost::node_bytes].at(static_cast<double>(sizes.upstreams));
    plan.limits.push_back({limit::node_control_processor,
                           changes * change_ns / ns_per_second,
                           host.control_cores});
    plan.limits.push_back(
        {limit::node_control_memory, state, host.control_memory_bytes});
    plan.limits.push_back(
        {limit::node_control_network,
         changes * change_bytes + idle_bytes + renewal_bytes / renewal_seconds,
         host.control_bytes_per_second});
}

// Cores that a voter uses. The log holds only document changes, no membership.
double voter_cores(const deployment& sizes, const measured_costs& costs)
{
    const double changes =
        std::max(sizes.changes_per_day / seconds_per_day,
                 sizes.burst_changes_per_minute / seconds_per_minute);
    const auto document = static_cast<double>(sizes.document_bytes);
    return changes * costs[cost::voter_change_ns].at(document) / ns_per_second;
}

// Cores that the busiest control host uses after the loss of a data centre.
double control_cores(const capacity_plan& plan, const deployment& sizes,
                     const observer_load& load, const measured_costs& costs)
{
    const double remaining_hosts =
        after_place_lost(plan.observers, sizes.places);
    const double observer =
        load.per_observer_cores + load.shared_cores / remaining_hosts;
    const double voter = voter_cores(sizes, costs);
    return plan.shared ? observer + voter : std::max(observer, voter);
}

void add_control_limits(capacity_plan& plan, const deployment& sizes,
                        const host_limits& host, const observer_load& load,
                        const measured_costs& costs)
{
    const double remaining_hosts =
        after_place_lost(plan.observers, sizes.places);
    // Every observer stores every record, so that a node can attach to any of
    // them.
    const double state =
        costs[cost::observer_bytes].at(static_cast<double>(sizes.upstreams));
    plan.limits.push_back({limit::control_hosts,
                           static_cast<double>(plan.control_hosts()),
                           static_cast<double>(host.control_hosts)});
    plan.limits.push_back({limit::control_processor,
                           control_cores(plan, sizes, load, costs),
                           host.cores * host.planned_share});
    plan.limits.push_back(
        {limit::control_memory, state, host.memory_bytes * host.planned_share});
    plan.limits.push_back({limit::control_network,
                           load.shared_bytes_per_second / remaining_hosts,
                           host.network_bytes_per_second * host.planned_share});
}

} // namespace

capacity_plan make_plan(const deployment& sizes, const host_limits& host,
                        const measured_costs& costs)
{
    capacity_plan plan;
    plan.entry_hosts = entry_hosts_for(sizes, host, costs);
    plan.voters = sizes.places > min_voters ? max_voters : min_voters;
    const observer_load load = compute_observer_load(
        sizes, static_cast<double>(plan.entry_hosts), costs);
    plan.observers = observers_for(load, host, sizes.places);
    plan.shared = true;
    plan.shared = control_cores(plan, sizes, load, costs) <
                  max_shared_utilization * host.cores * host.planned_share;
    add_entry_limits(plan, sizes, host, costs);
    add_node_limits(plan, sizes, host, costs);
    add_control_limits(plan, sizes, host, load, costs);
    plan.limits.push_back(
        {limit::upstream_connections, static_cast<double>(sizes.open_flows),
         static_cast<double>(sizes.upstreams) *
             static_cast<double>(sizes.connections_per_upstream)});
    std::stable_sort(plan.limits.begin(), plan.limits.end(),
                     [](const limit_use& first, const limit_use& second)
                     { return first.share() > second.share(); });
    return plan;
}

std::string to_text(const deployment& sizes, const capacity_plan& plan)
{
    std::string text =
        fmt::format("{}: {}\n"
                    "entry hosts    {}\n"
                    "control hosts  {} ({} voters, {} observers{})\n"
                    "binds first    {}\n\n"
                    "{:<36} {:>14} {:>14} {:>8}\n",
                    sizes.name, plan.feasible() ? "fits" : "does not fit",
                    plan.entry_hosts, plan.control_hosts(), plan.voters,
                    plan.observers, plan.shared ? ", on the same hosts" : "",
                    to_string(plan.binding_limit().which), "limit", "used",
                    "allowed", "share");
    for (const limit_use& use : plan.limits)
    {
        text += fmt::format("{:<36} {:>14.6g} {:>14.6g} {:>7.1f}%\n",
                            to_string(use.which), use.used, use.allowed,
                            100.0 * use.share());
    }
    return text;
}

} // namespace crowlink
