#include "document_json.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;
using milliseconds = std::chrono::milliseconds;

constexpr std::int64_t milliseconds_per_second = 1000;

duration to_duration(const json& object, const char* name,
                     duration default_value)
{
    const auto found = object.find(name);
    if (found == object.end())
    {
        return default_value;
    }
    const double value = found->get<double>() * milliseconds_per_second;
    return milliseconds(std::llround(value));
}

// Returns whole seconds as an integer, other durations as a decimal fraction.
ordered_json to_seconds(duration value)
{
    const auto count = std::chrono::duration_cast<milliseconds>(value).count();
    if (count % milliseconds_per_second == 0)
    {
        return count / milliseconds_per_second;
    }
    return static_cast<double>(count) / milliseconds_per_second;
}

request_kind to_kind(const json& value)
{
    request_kind kind;
    kind.name = value.at("name").get<std::string>();
    kind.weight = value.value("weight", kind.weight);
    kind.idempotent = value.at("idempotent").get<bool>();
    return kind;
}

target_limits to_limits(const json& value)
{
    target_limits limits;
    limits.slots = value.value("slots", limits.slots);
    limits.connections = value.value("connections", limits.connections);
    limits.cold_flows_per_second =
        value.value("cold_flows_per_second", limits.cold_flows_per_second);
    return limits;
}

sharing_policy to_sharing(const json& value)
{
    sharing_policy sharing;
    const bool continuity = value.value("goal", "balance") == "continuity";
    sharing.goal =
        continuity ? service_goal::continuity : service_goal::balance;
    sharing.candidates = value.value("candidates", sharing.candidates);
    sharing.cold_start = to_duration(value, "cold_start_s", sharing.cold_start);
    sharing.silent_after =
        to_duration(value, "silent_after_s", sharing.silent_after);
    return sharing;
}

service to_service(const json& value)
{
    service declared;
    declared.id = service_id(value.at("id").get<std::uint32_t>());
    declared.name = value.at("name").get<std::string>();
    declared.protocol =
        value.at("protocol") == "tcp" ? transport::tcp : transport::udp;
    for (const auto& address : value.at("addresses"))
    {
        declared.addresses.push_back(
            endpoint::parse(address.get_ref<const std::string&>()).value());
    }
    declared.limits = to_limits(value.value("limits", json::object()));
    declared.sharing = to_sharing(value);
    for (const auto& kind : value.value("kinds", json::array()))
    {
        declared.kinds.push_back(to_kind(kind));
    }
    return declared;
}

struct class_name
{
    request_class value;
    const char* name;
};

constexpr class_name class_names[] = {
    {request_class::safe, "safe"},
    {request_class::non_idempotent, "non_idempotent"},
    {request_class::download, "download"},
    {request_class::upload, "upload"},
};

// A committed document may come from a control host of a later version. A class
// that is unknown here is treated as the strictest one, whose requests run at
// most once.
request_class to_class(const std::string& name)
{
    for (const class_name& each : class_names)
    {
        if (name == each.name)
        {
            return each.value;
        }
    }
    return request_class::non_idempotent;
}

const char* to_name(request_class value)
{
    for (const class_name& each : class_names)
    {
        if (value == each.value)
        {
            return each.name;
        }
    }
    return class_names[0].name;
}

route to_route(const json& value)
{
    route parsed;
    parsed.name = value.at("name").get<std::string>();
    parsed.address =
        endpoint::parse(value.at("address").get_ref<const std::string&>())
            .value();
    parsed.terms.requests =
        to_class(value.value("requests", std::string("safe")));
    parsed.terms.timeout =
        to_duration(value, "timeout_s", parsed.terms.timeout);
    parsed.terms.aim = to_duration(value, "aim_s", parsed.terms.aim);
    parsed.terms.priority = value.value("priority", parsed.terms.priority);
    for (const auto& item : value.at("shares"))
    {
        route_share share;
        share.service = service_id(item.at("service").get<std::uint32_t>());
        share.weight = item.value("weight", share.weight);
        parsed.shares.push_back(share);
    }
    return parsed;
}

ordered_json route_json(const route& value)
{
    auto shares = ordered_json::array();
    for (const route_share& share : value.shares)
    {
        shares.push_back(
            {{"service", share.service.value()}, {"weight", share.weight}});
    }
    return {{"name", value.name},
            {"address", value.address.to_string()},
            {"requests", to_name(value.terms.requests)},
            {"timeout_s", to_seconds(value.terms.timeout)},
            {"aim_s", to_seconds(value.terms.aim)},
            {"priority", value.terms.priority},
            {"shares", shares}};
}

ordered_json limits_json(const target_limits& limits)
{
    ordered_json value = {{"slots", limits.slots},
                          {"connections", limits.connections}};
    if (limits.cold_flows_per_second > 0)
    {
        value["cold_flows_per_second"] = limits.cold_flows_per_second;
    }
    return value;
}

ordered_json kind_json(const request_kind& kind)
{
    return {{"name", kind.name},
            {"weight", kind.weight},
            {"idempotent", kind.idempotent}};
}

ordered_json service_json(const service& declared)
{
    auto addresses = ordered_json::array();
    for (const auto& address : declared.addresses)
    {
        addresses.push_back(address.to_string());
    }
    auto kinds = ordered_json::array();
    for (const auto& kind : declared.kinds)
    {
        kinds.push_back(kind_json(kind));
    }
    const bool tcp = declared.protocol == transport::tcp;
    const bool continuity = declared.sharing.goal == service_goal::continuity;
    return {{"id", declared.id.value()},
            {"name", declared.name},
            {"protocol", tcp ? "tcp" : "udp"},
            {"addresses", addresses},
            {"goal", continuity ? "continuity" : "balance"},
            {"candidates", declared.sharing.candidates},
            {"cold_start_s", to_seconds(declared.sharing.cold_start)},
            {"silent_after_s", to_seconds(declared.sharing.silent_after)},
            {"limits", limits_json(declared.limits)},
            {"kinds", kinds}};
}

// Groups data centres by region; the input is sorted by region.
ordered_json regions_json(const std::vector<place>& places)
{
    auto regions = ordered_json::array();
    for (const auto& item : places)
    {
        const auto& region = item.region.value();
        if (regions.empty() || regions.back().at("name") != region)
        {
            regions.push_back(
                {{"name", region}, {"places", ordered_json::array()}});
        }
        regions.back().at("places").push_back(item.id.value());
    }
    return regions;
}

// These functions compare the underlying values, since the linter reports the
// zero in a defaulted three-way comparison as a null pointer.
bool region_before(const place& first, const place& second)
{
    return std::tie(first.region.value(), first.id.value()) <
           std::tie(second.region.value(), second.id.value());
}

bool address_before(const endpoint& first, const endpoint& second)
{
    return std::tie(first.address.bytes(), first.port) <
           std::tie(second.address.bytes(), second.port);
}

bool name_before(const request_kind& first, const request_kind& second)
{
    return first.name < second.name;
}

bool id_before(const service& first, const service& second)
{
    return first.id.value() < second.id.value();
}

bool route_before(const route& first, const route& second)
{
    return address_before(first.address, second.address);
}

bool share_before(const route_share& first, const route_share& second)
{
    return first.service.value() < second.service.value();
}

bool value_before(const upstream_id& first, const upstream_id& second)
{
    return first.value() < second.value();
}

} // namespace

system_document sorted(system_document document)
{
    std::sort(document.places.begin(), document.places.end(), region_before);
    for (auto& declared : document.services)
    {
        auto& addresses = declared.addresses;
        std::sort(addresses.begin(), addresses.end(), address_before);
        std::sort(declared.kinds.begin(), declared.kinds.end(), name_before);
    }
    std::sort(document.services.begin(), document.services.end(), id_before);
    for (auto& each : document.routes)
    {
        std::sort(each.shares.begin(), each.shares.end(), share_before);
    }
    std::sort(document.routes.begin(), document.routes.end(), route_before);
    std::sort(document.drains.begin(), document.drains.end(), value_before);
    return document;
}

system_document from_json(const json& value)
{
    system_document document;
    for (const auto& region : value.at("regions"))
    {
        const region_id name(region.at("name").get<std::string>());
        for (const auto& item : region.at("places"))
        {
            document.places.push_back(
                {place_id(item.get<std::string>()), name});
        }
    }
    for (const auto& item : value.at("services"))
    {
        document.services.push_back(to_service(item));
    }
    for (const auto& item : value.value("routes", json::array()))
    {
        document.routes.push_back(to_route(item));
    }
    for (const auto& item : value.value("drains", json::array()))
    {
        document.drains.emplace_back(item.get<std::string>());
    }
    document.source = value.value("source", std::string());
    return sorted(std::move(document));
}

ordered_json to_json(const system_document& document)
{
    const auto canonical = sorted(document);
    auto services = ordered_json::array();
    for (const auto& declared : canonical.services)
    {
        services.push_back(service_json(declared));
    }
    auto drains = ordered_json::array();
    for (const auto& drain : canonical.drains)
    {
        drains.push_back(drain.value());
    }
    auto routes = ordered_json::array();
    for (const auto& each : canonical.routes)
    {
        routes.push_back(route_json(each));
    }
    ordered_json value = {{"regions", regions_json(canonical.places)},
                          {"services", services},
                          {"routes", routes},
                          {"drains", drains}};
    if (!canonical.source.empty())
    {
        value["source"] = canonical.source;
    }
    return value;
}

} // namespace crowlink::internal
