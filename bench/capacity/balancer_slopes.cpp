#include "heap_use.hpp"
#include "sample_views.hpp"
#include "slopes.hpp"
#include "stopwatch.hpp"

#include "crowlink/balancer.hpp"

#include <memory>
#include <vector>

namespace crowlink::capacity
{

namespace
{

constexpr std::size_t packets = 4096;
constexpr std::size_t payload_bytes = 200;

// What the target has: 28,000 upstreams behind 9,000 addresses.
constexpr std::size_t usual_members = 3;

std::shared_ptr<const forwarding_set> make_set(std::size_t services,
                                               std::size_t members)
{
    std::vector<service_view> views;
    for (std::size_t service = 0; service < services; ++service)
    {
        views.push_back(sample_view(service, members));
    }
    return forwarding_set::with_changes(forwarding_set::empty(), views, {});
}

// The cost of routing packets of different flows over all services.
double route_ns(const effort& limit, const forwarding_set& set,
                std::size_t services)
{
    std::vector<flow_key> flows;
    for (std::uint32_t number = 0; number < packets; ++number)
    {
        flows.push_back(sample_flow(number % services, number));
    }
    traffic_path path({}, service_endpoint(0));
    const std::vector<std::uint8_t> payload(payload_bytes);
    std::vector<std::uint8_t> buffer(datagram_codec::buffer_size);
    const auto route_all = [&]
    {
        for (const flow_key& flow : flows)
        {
            const auto routed =
                path.route(set, {flow, packet_role::any, payload}, buffer);
            keep(routed);
        }
    };
    return ns_a_step(limit, packets, route_all);
}

measured_slope packet_over_members(const effort& limit)
{
    measured_slope slope{"balancer_packet_ns",
                         "balancer",
                         "ns a packet",
                         "members of the service",
                         {}};
    for (const std::size_t members : limit.sizes({3, 12, 48, 192, 768}))
    {
        const auto set = make_set(1, members);
        slope.points.push_back(
            {static_cast<double>(members), route_ns(limit, *set, 1)});
    }
    return slope;
}

measured_slope packet_over_services(const effort& limit)
{
    measured_slope slope{"balancer_packet_services_ns",
                         "balancer",
                         "ns a packet",
                         "services on the node",
                         {}};
    for (const std::size_t services : limit.sizes({36, 144, 576, 2304, 9000}))
    {
        const auto set = make_set(services, usual_members);
        slope.points.push_back(
            {static_cast<double>(services), route_ns(limit, *set, services)});
    }
    return slope;
}

measured_slope table_size(const effort& limit)
{
    measured_slope slope{"table_bytes",
                         "balancer",
                         "bytes a table",
                         "members of the service",
                         {}};
    for (const std::size_t members : limit.sizes({3, 12, 48, 192, 768}))
    {
        const auto table = forwarding_table::build(sample_view(0, members));
        slope.points.push_back({static_cast<double>(members),
                                static_cast<double>(table->memory())});
    }
    return slope;
}

measured_slope table_build(const effort& limit)
{
    measured_slope slope{"table_build_ns",
                         "balancer",
                         "ns a table",
                         "members of the service",
                         {}};
    for (const std::size_t members : limit.sizes({3, 12, 48, 192, 768}))
    {
        const service_view view = sample_view(0, members);
        const auto build = [&view]
        {
            keep(forwarding_table::build(view));
        };
        slope.points.push_back(
            {static_cast<double>(members), ns_a_step(limit, 1, build)});
    }
    return slope;
}

// One changed view in a set of many services.
measured_slope set_change(const effort& limit)
{
    measured_slope slope{"balancer_change_ns",
                         "balancer",
                         "ns a change",
                         "services on the node",
                         {}};
    for (const std::size_t services : limit.sizes({36, 144, 576, 2304, 9000}))
    {
        balancer control;
        views_changed all;
        for (std::size_t service = 0; service < services; ++service)
        {
            all.views.push_back(sample_view(service, usual_members));
        }
        control.handle({}, all);
        std::uint64_t sequence = 1;
        const auto change = [&control, &sequence]
        {
            views_changed one;
            one.views.push_back(sample_view(0, usual_members, ++sequence));
            keep(control.handle({}, one));
        };
        slope.points.push_back(
            {static_cast<double>(services), ns_a_step(limit, 1, change)});
    }
    return slope;
}

measured_slope set_size(const effort& limit)
{
    measured_slope slope{"balancer_set_bytes",
                         "balancer",
                         "bytes of heap",
                         "services of 3 members on the node",
                         {}};
    for (const std::size_t services : limit.sizes({36, 144, 576, 2304, 9000}))
    {
        const double before = heap_bytes();
        const auto set = make_set(services, usual_members);
        slope.points.push_back(
            {static_cast<double>(services), heap_bytes() - before});
    }
    return slope;
}

} // namespace

std::vector<measured_slope> balancer_slopes(const effort& limit)
{
    return {packet_over_members(limit), packet_over_services(limit),
            table_size(limit),          table_build(limit),
            set_change(limit),          set_size(limit)};
}

} // namespace crowlink::capacity
