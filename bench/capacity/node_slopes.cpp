#include "control_bed.hpp"
#include "heap_use.hpp"
#include "slopes.hpp"
#include "stopwatch.hpp"

#include "crowlink/balancer.hpp"

#include <memory>

namespace crowlink::capacity
{

namespace
{

// What the target has: 28,000 upstreams behind 9,000 addresses.
constexpr std::size_t usual_members = 3;

// A balancer that holds everything: its subscriber's records and its tables,
// and what a node without any is sent to get there.
std::vector<measured_slope> state(const effort& limit)
{
    measured_slope bytes{
        "node_bytes", "node", "bytes of heap", "upstreams known", {}};
    measured_slope snapshot{
        "node_snapshot_bytes", "node", "bytes received", "upstreams known", {}};
    measured_slope seconds{"node_snapshot_seconds",
                           "node",
                           "seconds until all is known",
                           "upstreams known",
                           {}};
    for (const std::size_t services : limit.sizes({330, 1320, 5280, 9240}))
    {
        control_bed bed;
        bed.announce(services, usual_members);
        bed.get_ready();
        bed.add_nodes(1, true);
        const double before = heap_bytes();
        const time_point begin = bed.now();
        const std::uint64_t sent = bed.to_nodes().bytes;
        while (bed.node(0).snapshots() == 0)
        {
            bed.run(control_bed::step);
        }
        const time_point end = bed.now();
        views_changed all;
        all.views = bed.take_views();
        balancer tables;
        tables.handle({}, all);
        all.views = {};
        const auto upstreams = static_cast<double>(services * usual_members);
        bytes.points.push_back({upstreams, heap_bytes() - before});
        snapshot.points.push_back(
            {upstreams, static_cast<double>(bed.to_nodes().bytes - sent)});
        seconds.points.push_back(
            {upstreams, std::chrono::duration<double>(end - begin).count()});
    }
    return {bytes, snapshot, seconds};
}

// A node's own work on one change: decode, merge, new view, new table.
measured_slope change(const effort& limit)
{
    measured_slope slope{
        "node_change_ns", "node", "ns a change", "members of the service", {}};
    for (const std::size_t members : limit.sizes({3, 12, 48, 192, 768}))
    {
        control_bed bed;
        bed.announce(1, members);
        bed.get_ready();
        bed.add_nodes(1, true);
        bed.settle();
        bed.take_views();
        balancer tables;
        std::uint64_t sequence = 1;
        const auto apply = [&]
        {
            views_changed changed;
            // The host's part is in this time too; it serves one node only.
            bed.change(0, 0, ++sequence);
            for (int steps = 0; changed.views.empty() && steps < 100; ++steps)
            {
                bed.run(control_bed::step);
                changed.views = bed.take_views();
            }
            tables.handle({}, changed);
        };
        slope.points.push_back(
            {static_cast<double>(members), ns_a_step(limit, 1, apply)});
    }
    return slope;
}

// Bytes that a node receives for changes of different upstreams at once.
measured_slope change_bytes(const effort& limit)
{
    measured_slope slope{
        "node_change_bytes", "node", "bytes received", "changes at once", {}};
    constexpr std::size_t services = 100;
    control_bed bed;
    bed.announce(services, usual_members);
    bed.get_ready();
    bed.add_nodes(1, true);
    bed.settle();
    std::size_t next = 0;
    for (const std::size_t changes : limit.sizes({1, 4, 16, 64}))
    {
        const std::uint64_t before = bed.to_nodes().bytes;
        for (std::size_t count = 0; count < changes; ++count)
        {
            bed.change(next++, 0, 2);
        }
        bed.run(std::chrono::seconds(4));
        slope.points.push_back(
            {static_cast<double>(changes),
             static_cast<double>(bed.to_nodes().bytes - before)});
    }
    return slope;
}

// What passes between a node and its publisher when nothing changes.
measured_slope idle_bytes(const effort& limit)
{
    measured_slope slope{
        "node_idle_bytes", "node", "bytes received and sent", "seconds", {}};
    control_bed bed;
    bed.announce(10, usual_members);
    bed.get_ready();
    bed.add_nodes(1, true);
    bed.settle();
    for (const std::size_t seconds : limit.sizes({60, 240, 960, 3840}))
    {
        const std::uint64_t before =
            bed.to_nodes().bytes + bed.from_nodes().bytes;
        bed.run(std::chrono::seconds(seconds));
        slope.points.push_back(
            {static_cast<double>(seconds),
             static_cast<double>(bed.to_nodes().bytes + bed.from_nodes().bytes -
                                 before)});
    }
    return slope;
}

} // namespace

std::vector<measured_slope> node_slopes(const effort& limit)
{
    std::vector<measured_slope> all = state(limit);
    all.push_back(change(limit));
    all.push_back(change_bytes(limit));
    all.push_back(idle_bytes(limit));
    return all;
}

} // namespace crowlink::capacity
