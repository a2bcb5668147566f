#include "crowlink/plan/measured_costs.hpp"
#include "crowlink/plan/plan_file.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace crowlink
{

namespace
{

using json = nlohmann::json;

json parse_with_comments(std::string_view text)
{
    return json::parse(text, nullptr, false, true);
}

const json* find_slope(const json& slopes, std::string_view name)
{
    const auto has_name = [name](const json& slope)
    {
        return slope.is_object() && slope.contains("name") &&
               slope["name"] == name;
    };
    const auto found = std::find_if(slopes.begin(), slopes.end(), has_name);
    return found == slopes.end() ? nullptr : &*found;
}

std::optional<double> number_at(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number())
    {
        return std::nullopt;
    }
    return found->get<double>();
}

result<cost_line> read_line(const json& slopes, cost which)
{
    const std::string name(to_string(which));
    const json* slope = find_slope(slopes, name);
    if (slope == nullptr)
    {
        return fail(error_kind::invalid, name, "is not in the slopes");
    }
    const auto fixed = number_at(*slope, "fixed");
    const auto per_unit = number_at(*slope, "per_unit");
    const auto relative_error = number_at(*slope, "relative_error");
    if (!fixed || !per_unit || !relative_error)
    {
        return fail(error_kind::invalid, name,
                    "needs fixed, per_unit and relative_error as numbers");
    }
    return cost_line{*fixed, *per_unit, *relative_error};
}

// A numeric field of the plan file and the function that stores its value.
struct number_field
{
    const char* name;
    bool required;
    std::function<void(double)> store;
};

std::function<void(double)> store_in(double& target)
{
    return [&target](double value)
    {
        target = value;
    };
}

std::function<void(double)> store_in(std::uint64_t& target)
{
    return [&target](double value)
    {
        target = static_cast<std::uint64_t>(std::llround(value));
    };
}

std::vector<number_field> fields_of(deployment& sizes)
{
    return {
        {"places", true, store_in(sizes.places)},
        {"regions", true, store_in(sizes.regions)},
        {"services", true, store_in(sizes.services)},
        {"upstreams", true, store_in(sizes.upstreams)},
        {"entry_hosts", false, store_in(sizes.entry_hosts)},
        {"connections_per_upstream", false,
         store_in(sizes.connections_per_upstream)},
        {"open_flows", true, store_in(sizes.open_flows)},
        {"new_flows_per_second", true, store_in(sizes.new_flows_per_second)},
        {"packets_per_second", true, store_in(sizes.packets_per_second)},
        {"bytes_per_packet", true, store_in(sizes.bytes_per_packet)},
        {"document_bytes", true, store_in(sizes.document_bytes)},
        {"changes_per_day", true, store_in(sizes.changes_per_day)},
        {"burst_changes_per_minute", false,
         store_in(sizes.burst_changes_per_minute)},
        {"restarts_per_day", true, store_in(sizes.restarts_per_day)},
        {"failures_per_day", true, store_in(sizes.failures_per_day)},
    };
}

std::vector<number_field> fields_of(host_limits& host)
{
    return {
        {"cores", false, store_in(host.cores)},
        {"memory_bytes", false, store_in(host.memory_bytes)},
        {"network_bytes_per_second", false,
         store_in(host.network_bytes_per_second)},
        {"planned_share", false, store_in(host.planned_share)},
        {"control_cores", false, store_in(host.control_cores)},
        {"control_memory_bytes", false, store_in(host.control_memory_bytes)},
        {"control_bytes_per_second", false,
         store_in(host.control_bytes_per_second)},
        {"control_hosts", false, store_in(host.control_hosts)},
    };
}

// Stores the numeric fields of an object. `other_names` are further names that
// it may contain; `path_prefix` precedes the name of a field in errors.
result<void> read_numbers(const json& object, const std::string& path_prefix,
                          const std::vector<number_field>& fields,
                          const std::vector<std::string>& other_names)
{
    for (const auto& [name, value] : object.items())
    {
        const std::string& key = name;
        const bool known = std::any_of(fields.begin(), fields.end(),
                                       [&key](const number_field& f)
                                       { return f.name == key; });
        if (!known && std::find(other_names.begin(), other_names.end(), key) ==
                          other_names.end())
        {
            return fail(error_kind::invalid, path_prefix + key, "is not known");
        }
    }
    for (const number_field& field : fields)
    {
        if (!object.contains(field.name) && !field.required)
        {
            continue;
        }
        const auto value = number_at(object, field.name);
        // A larger count could overflow the integer in which it is stored.
        constexpr double max_value = 1.0e15;
        if (!value || !(*value > 0.0) || *value > max_value)
        {
            return fail(error_kind::invalid, path_prefix + field.name,
                        "must be a number above 0 and at most 1e15");
        }
        field.store(*value);
    }
    return {};
}

} // namespace

result<measured_costs> read_costs(std::string_view text)
{
    const json root = parse_with_comments(text);
    if (!root.is_object() || !root.contains("slopes") ||
        !root["slopes"].is_array())
    {
        return fail(error_kind::invalid, "slopes", "is not a list");
    }
    measured_costs::lines_type lines{};
    for (const cost which : all_costs())
    {
        const auto line = read_line(root["slopes"], which);
        if (!line)
        {
            return tl::unexpected<error>(line.error());
        }
        lines[static_cast<std::size_t>(which)] = *line;
    }
    return measured_costs(lines);
}

result<plan_file> read_plan_file(std::string_view text)
{
    const json root = parse_with_comments(text);
    if (!root.is_object())
    {
        return fail(error_kind::invalid, "", "is not a JSON object");
    }
    if (!root.contains("name") || !root["name"].is_string())
    {
        return fail(error_kind::invalid, "name", "must be a text");
    }
    plan_file read;
    read.sizes.name = root["name"].get<std::string>();
    const auto sizes =
        read_numbers(root, "", fields_of(read.sizes), {"name", "host"});
    if (!sizes)
    {
        return tl::unexpected<error>(sizes.error());
    }
    if (root.contains("host"))
    {
        if (!root["host"].is_object())
        {
            return fail(error_kind::invalid, "host", "must be an object");
        }
        const auto host =
            read_numbers(root["host"], "host.", fields_of(read.host), {});
        if (!host)
        {
            return tl::unexpected<error>(host.error());
        }
    }
    return read;
}

} // namespace crowlink
