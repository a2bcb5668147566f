#include "experiment.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace crowlink::placement
{

namespace
{

using json = nlohmann::json;

template <class Value, std::size_t Count>
using names = std::array<std::pair<const char*, Value>, Count>;

constexpr names<arm, 10> arm_names{{
    {"full", arm::full},
    {"no_hand_off", arm::no_hand_off},
    {"no_redirects", arm::no_redirects},
    {"no_previous_chain", arm::no_previous_chain},
    {"no_ramp", arm::no_ramp},
    {"no_stall_detection", arm::no_stall_detection},
    {"naive", arm::naive},
    {"rendezvous", arm::rendezvous},
    {"omniscient", arm::omniscient},
    {"reported_load", arm::reported_load},
}};

constexpr names<fault_kind, 7> fault_names{{
    {"rolling_restart", fault_kind::rolling_restart},
    {"replace_balancer", fault_kind::replace_balancer},
    {"stall", fault_kind::stall},
    {"lie", fault_kind::lie},
    {"crash_upstream", fault_kind::crash_upstream},
    {"crash_balancer", fault_kind::crash_balancer},
    {"restart_agent", fault_kind::restart_agent},
}};

template <class Value, std::size_t Count>
Value by_name(const names<Value, Count>& known, const std::string& name)
{
    for (const auto& [text, value] : known)
    {
        if (name == text)
        {
            return value;
        }
    }
    throw json::other_error::create(501, "unknown name " + name, nullptr);
}

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

duration seconds_at(const json& object, const char* name)
{
    return seconds(object.value(name, 0.0));
}

service_settings read_service(const json& object)
{
    service_settings read;
    read.name = object.at("name").get<std::string>();
    read.upstreams = object.at("upstreams").get<std::size_t>();
    read.load = object.value("load", read.load);
    read.goal = object.value("goal", "balance") == "continuity"
                    ? service_goal::continuity
                    : service_goal::balance;
    return read;
}

fault read_fault(const json& object)
{
    fault read;
    read.kind = by_name(fault_names, object.at("kind").get<std::string>());
    read.at = seconds(object.at("at_seconds").get<double>());
    read.service = object.value("service", read.service);
    read.which = object.value("which", read.which);
    read.count = object.value("count", read.count);
    read.lasts = seconds_at(object, "seconds");
    return read;
}

surge read_surge(const json& object)
{
    surge read;
    read.at = seconds(object.at("at_seconds").get<double>());
    read.ramp = seconds(object.at("ramp_seconds").get<double>());
    read.share = object.at("share").get<double>();
    read.growth = object.value("growth", read.growth);
    read.service = object.value("service", read.service);
    return read;
}

experiment read_all(const json& root)
{
    experiment read;
    read.name = root.at("name").get<std::string>();
    read.seed = root.value("seed", read.seed);
    read.length = seconds(root.at("seconds").get<double>());
    read.warm_up = seconds(root.at("warm_up_seconds").get<double>());
    read.balancers = root.value("balancers", read.balancers);
    read.slots = root.value("slots", read.slots);
    read.connections = root.value("connections", read.connections);
    read.caller_delay = seconds_at(root, "caller_delay_seconds");
    read.host_delay = seconds_at(root, "host_delay_seconds");
    read.least_lifetime =
        root.value("least_lifetime_seconds", read.least_lifetime);
    read.most_lifetime =
        root.value("most_lifetime_seconds", read.most_lifetime);
    read.tail = root.value("lifetime_tail", read.tail);
    read.think_seconds = root.value("think_seconds", read.think_seconds);
    read.service_seconds = root.value("service_seconds", read.service_seconds);
    read.cold_slowdown = root.value("cold_slowdown", read.cold_slowdown);
    read.cold_start = seconds_at(root, "cold_start_seconds");
    read.least_view_delay = seconds_at(root, "least_view_delay_seconds");
    read.most_view_delay = seconds_at(root, "most_view_delay_seconds");
    for (const json& object : root.at("services"))
    {
        read.services.push_back(read_service(object));
    }
    for (const json& object : root.value("faults", json::array()))
    {
        read.faults.push_back(read_fault(object));
    }
    if (root.contains("surge"))
    {
        read.rush = read_surge(root["surge"]);
    }
    for (const json& name : root.at("arms"))
    {
        read.arms.push_back(by_name(arm_names, name.get<std::string>()));
    }
    return read;
}

} // namespace

std::string_view to_string(arm value)
{
    for (const auto& [text, named] : arm_names)
    {
        if (named == value)
        {
            return text;
        }
    }
    return "unknown";
}

result<std::vector<experiment>> read_experiments(std::string_view text)
{
    try
    {
        json common = json::parse(text, nullptr, true, true);
        const json scenarios = common.at("scenarios");
        common.erase("scenarios");
        std::vector<experiment> all;
        for (const json& scenario : scenarios)
        {
            json whole = common;
            whole.merge_patch(scenario);
            all.push_back(read_all(whole));
            all.back().name = common.at("name").get<std::string>() + "_" +
                              scenario.at("name").get<std::string>();
        }
        return all;
    }
    catch (const json::exception& problem)
    {
        return fail(error_kind::invalid, "", problem.what());
    }
}

} // namespace crowlink::placement
