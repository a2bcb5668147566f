#include "control_bed.hpp"
#include "heap_use.hpp"
#include "slopes.hpp"
#include "stopwatch.hpp"

#include <memory>
#include <string>

namespace crowlink::capacity
{

namespace
{

constexpr std::size_t members = 4;
// Few enough upstreams that nodes attach quickly.
constexpr std::size_t few_services = 64;

std::unique_ptr<control_bed> bed_with(std::size_t upstreams)
{
    auto bed = std::make_unique<control_bed>();
    bed->announce(upstreams / members, members);
    return bed;
}

measured_slope renewal(const effort& limit)
{
    measured_slope slope{"observer_renewal_ns",
                         "observer",
                         "ns a renewal",
                         "upstreams at the observer",
                         {}};
    constexpr std::size_t batch = 1000;
    for (const std::size_t upstreams : limit.sizes({1000, 4000, 16000, 64000}))
    {
        const auto bed = bed_with(upstreams);
        std::size_t next = 0;
        const auto renew = [&]
        {
            for (std::size_t count = 0; count < batch; ++count)
            {
                // Spread over all records, as renewals are.
                next = (next + 7919) % upstreams;
                bed->renew(next / members, next % members);
            }
        };
        slope.points.push_back(
            {static_cast<double>(upstreams), ns_a_step(limit, batch, renew)});
    }
    return slope;
}

measured_slope idle_tick(const effort& limit)
{
    measured_slope slope{"observer_tick_ns",
                         "observer",
                         "ns a tick of 100 ms",
                         "upstreams at the observer",
                         {}};
    // Ten judgements, so that what is done twice a second counts as often.
    constexpr std::size_t batch = 50;
    for (const std::size_t upstreams : limit.sizes({1000, 4000, 16000, 64000}))
    {
        const auto bed = bed_with(upstreams);
        const auto tick = [&bed]
        {
            for (std::size_t count = 0; count < batch; ++count)
            {
                bed->tick_host();
            }
        };
        slope.points.push_back(
            {static_cast<double>(upstreams), ns_a_step(limit, batch, tick)});
    }
    return slope;
}

measured_slope state(const effort& limit)
{
    measured_slope slope{"observer_bytes",
                         "observer",
                         "bytes of heap",
                         "upstreams at the observer",
                         {}};
    for (const std::size_t upstreams : limit.sizes({1000, 4000, 16000, 64000}))
    {
        const double before = heap_bytes();
        const auto bed = bed_with(upstreams);
        slope.points.push_back(
            {static_cast<double>(upstreams), heap_bytes() - before});
    }
    return slope;
}

// An observer whose nodes know everything; from here on they say nothing, so
// that only the observer's own work is timed. They are dropped after 30 s.
std::unique_ptr<control_bed> serving_bed(std::size_t nodes)
{
    auto bed = std::make_unique<control_bed>();
    bed->announce(few_services, members);
    bed->get_ready();
    bed->add_nodes(nodes, true);
    bed->settle();
    bed->mute_nodes(true);
    return bed;
}

// One upstream changes while so many nodes want to know: the host's own time
// and bytes until all of them were told.
std::vector<measured_slope> push(const effort& limit)
{
    measured_slope time{"observer_push_ns",
                        "observer",
                        "ns a change",
                        "nodes at the observer",
                        {}};
    measured_slope bytes{"observer_push_bytes",
                         "observer",
                         "bytes a change",
                         "nodes at the observer",
                         {}};
    measured_slope idle{"observer_node_tick_ns",
                        "observer",
                        "ns a tick of 100 ms",
                        "nodes at the observer",
                        {}};
    effort brief = limit;
    brief.point_seconds = 0.0;
    constexpr std::size_t ticks = 20;
    for (const std::size_t nodes : limit.sizes({64, 256, 1024, 4096}))
    {
        const auto at = static_cast<double>(nodes);
        const auto bed = serving_bed(nodes);
        std::uint64_t sequence = 1;
        std::uint64_t changes = 0;
        const std::uint64_t before = bed->to_nodes().bytes;
        const auto change = [&]
        {
            bed->change(0, 0, ++sequence);
            bed->tick_host();
            ++changes;
        };
        time.points.push_back({at, ns_a_step(brief, 1, change)});
        bytes.points.push_back(
            {at, static_cast<double>(bed->to_nodes().bytes - before) /
                     static_cast<double>(changes)});
        const auto wait = [&bed]
        {
            for (std::size_t count = 0; count < ticks; ++count)
            {
                bed->tick_host();
            }
        };
        idle.points.push_back({at, ns_a_step(brief, ticks, wait)});
    }
    return {time, bytes, idle};
}

// What observers say to each other for one change, and when nothing changes.
std::vector<measured_slope> peers(const effort& limit)
{
    measured_slope change{"observer_peer_bytes",
                          "observer",
                          "bytes a change",
                          "other observers",
                          {}};
    measured_slope idle{"observer_idle_bytes",
                        "observer",
                        "bytes a second sent",
                        "other observers",
                        {}};
    constexpr double seconds = 20.0;
    for (const std::size_t others : limit.sizes({1, 4, 10, 19}))
    {
        control_bed bed(others);
        bed.announce(few_services, members);
        bed.run(std::chrono::seconds(2));
        std::uint64_t before = bed.to_peers().bytes;
        bed.run(std::chrono::seconds(20));
        const auto quiet =
            static_cast<double>(bed.to_peers().bytes - before) / seconds;
        idle.points.push_back({static_cast<double>(others), quiet});
        before = bed.to_peers().bytes;
        constexpr std::uint64_t changes = 20;
        for (std::uint64_t count = 0; count < changes; ++count)
        {
            bed.change(0, 0, 2 + count);
            bed.run(std::chrono::seconds(1));
        }
        const auto busy = static_cast<double>(bed.to_peers().bytes - before);
        change.points.push_back(
            {static_cast<double>(others),
             (busy - seconds * quiet) / static_cast<double>(changes)});
    }
    return {change, idle};
}

} // namespace

std::vector<measured_slope> observer_slopes(const effort& limit)
{
    std::vector<measured_slope> all{renewal(limit), idle_tick(limit),
                                    state(limit)};
    for (const auto& group : {push(limit), peers(limit)})
    {
        all.insert(all.end(), group.begin(), group.end());
    }
    return all;
}

} // namespace crowlink::capacity
