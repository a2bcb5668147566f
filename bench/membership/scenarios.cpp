#include "scenarios.hpp"

#include "large_system.hpp"
#include "measuring.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace crowlink::bench
{

namespace
{

using nlohmann::json;

const duration limit = std::chrono::minutes(15);

// What a scenario cost since the system's counters were reset.
json cost(const large_system& system, const char* name, double seconds)
{
    return {{"name", name},
            {"seconds_until_known", seconds},
            {"node_bytes", system.node_bytes()},
            {"node_peak_bytes_a_second", system.peak_bytes_a_second()},
            {"node_messages_all", system.node_messages()},
            {"control_bytes_a_host", system.control_bytes()},
            {"agent_bytes_each", system.agent_bytes()}};
}

json quiet_minute(large_system& system)
{
    system.reset_bytes();
    const processor_time used;
    system.run(std::chrono::minutes(1));
    json out = cost(system, "a quiet minute", 0);
    out["processor_seconds_whole_system"] = used.seconds();
    return out;
}

json one_change(large_system& system)
{
    double worst = 0;
    double sum = 0;
    constexpr int rounds = 20;
    system.reset_bytes();
    for (int round = 0; round < rounds; ++round)
    {
        system.run(std::chrono::milliseconds(700));
        system.change_document();
        const double took = system.run_until(
            [&system] { return system.document_in_force(); }, limit);
        worst = std::max(worst, took);
        sum += took;
    }
    json out = cost(system, "one change of the document, 20 times", worst);
    out["mean_seconds"] = sum / rounds;
    return out;
}

// The shortest time between changes is 600 ms, so each is awaited before the
// next only where it takes less.
json hundred_changes(large_system& system)
{
    system.reset_bytes();
    double worst = 0;
    for (int round = 0; round < 100; ++round)
    {
        system.change_document();
        double waited = 0;
        for (int step = 0; step < 6; ++step)
        {
            waited += system.document_in_force() ? 0 : 0.1;
            system.step();
        }
        worst = std::max(worst, waited);
    }
    worst = std::max(
        worst, system.run_until(
                   [&system] { return system.document_in_force(); }, limit));
    return cost(system, "100 changes of the document in a minute", worst);
}

json rack_lost(large_system& system, std::size_t places, std::size_t upstreams)
{
    system.reset_bytes();
    const std::size_t rack = std::min<std::size_t>(40, upstreams / places / 2);
    for (std::size_t index = 0; index < rack; ++index)
    {
        system.kill_upstream(index * places);
    }
    const double took =
        system.run_until([&system] { return system.members_known(); }, limit);
    json out = cost(system, "a rack of 40 upstreams lost", took);
    for (std::size_t index = 0; index < rack; ++index)
    {
        system.restart_upstream(index * places);
    }
    system.run_until([&system] { return system.members_known(); }, limit);
    return out;
}

json place_lost(large_system& system, std::size_t places)
{
    system.reset_bytes();
    const auto inside = [&system, places](const host_id& id)
    {
        const std::string& name = id.value();
        const std::size_t number = std::stoul(name.substr(name.find('-') + 1));
        if (name[0] == 'a')
        {
            return number % places == 1;
        }
        return id == system.control(1);
    };
    system.cut([inside](const host_id& from, const host_id& to)
               { return inside(from) != inside(to); });
    const place_id where = system.place(1);
    const double took = system.run_until(
        [&system, &where] { return !system.shows(where); }, limit);
    system.run(std::chrono::seconds(30));
    json out = cost(system, "a place lost", took);
    system.reset_bytes();
    system.cut(nullptr);
    const double back = system.run_until(
        [&system, &where] { return system.shows(where); }, limit);
    system.run(std::chrono::seconds(30));
    out["back"] = cost(system, "the place is back", back);
    out["back"]["members_known"] = system.members_known();
    return out;
}

json region_heals(large_system& system, std::size_t regions,
                  std::size_t upstreams)
{
    const auto far = [regions](const host_id& id)
    {
        const std::string& name = id.value();
        const std::size_t number = std::stoul(name.substr(name.find('-') + 1));
        return number % regions == 2 % regions;
    };
    system.cut([far](const host_id& from, const host_id& to)
               { return far(from) != far(to); });
    system.run(std::chrono::seconds(60));
    // As many restarts as an hour of an ordinary day brings.
    const std::size_t restarts = std::min<std::size_t>(117, upstreams / 4);
    for (std::size_t index = 0; index < restarts; ++index)
    {
        system.restart_upstream(index * 7 % upstreams);
    }
    system.change_document();
    system.run(std::chrono::seconds(60));
    system.reset_bytes();
    system.cut(nullptr);
    const double took = system.run_until(
        [&system]
        { return system.members_known() && system.document_in_force(); },
        limit);
    json out = cost(system, "a region heals, 117 restarts later", took);
    out["restarts"] = restarts;
    return out;
}

json all_restarted(large_system& system, std::size_t upstreams)
{
    system.reset_bytes();
    const std::size_t steps = 6000;
    std::size_t next = 0;
    for (std::size_t step = 0; step < steps; ++step)
    {
        const std::size_t until = upstreams * (step + 1) / steps;
        for (; next < until; ++next)
        {
            system.restart_upstream(next * 13 % upstreams);
        }
        system.step();
    }
    const double took =
        system.run_until([&system] { return system.members_known(); }, limit);
    return cost(system, "all upstreams restarted within ten minutes", took);
}

} // namespace

json run_scenarios(std::size_t upstreams, bool with_restart)
{
    constexpr std::size_t upstreams_a_service = 19;
    large_system::sizes size;
    size.upstreams = upstreams;
    size.services = upstreams / upstreams_a_service + 1;
    large_system system(size);
    json out = json::array();
    const auto add = [&out](const json& next)
    {
        out.push_back(next);
        fmt::print(stderr, "{}\n", next.dump());
    };
    const processor_time used;
    const double start = system.run_until(
        [&system]
        { return system.members_known() && system.document_in_force(); },
        limit);
    add({{"name", "sizes"},
         {"upstreams", size.upstreams},
         {"services", size.services},
         {"control_hosts", size.places}});
    add(cost(system, "all start at once", start));
    add(quiet_minute(system));
    add(one_change(system));
    add(hundred_changes(system));
    add(rack_lost(system, size.places, size.upstreams));
    add(place_lost(system, size.places));
    add(region_heals(system, size.regions, size.upstreams));
    if (with_restart)
    {
        add(all_restarted(system, size.upstreams));
    }
    add({{"name", "processor seconds of the simulation"},
         {"seconds", used.seconds()}});
    return out;
}

} // namespace crowlink::bench
