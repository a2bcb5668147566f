#include "cross_field_rules.hpp"

#include "crowlink/base/endpoint.hpp"
#include "crowlink/model/target_limits.hpp"
#include "json_text.hpp"

#include <cmath>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace crowlink::internal
{

namespace
{

using nlohmann::json;
using error_list = std::vector<document_error>;

// A value and its path.
struct located_value
{
    const json& value;
    std::string path;
};

// A field of an object; empty if the value is no object or lacks the field.
std::optional<located_value> field(const located_value& object,
                                   const char* name)
{
    if (!object.value.is_object() || !object.value.contains(name))
    {
        return std::nullopt;
    }
    return located_value{object.value.at(name), child_path(object.path, name)};
}

// The elements of a list field; empty if the field is absent or no list.
std::vector<located_value> elements(const located_value& object,
                                    const char* name)
{
    std::vector<located_value> items;
    const auto list = field(object, name);
    if (!list || !list->value.is_array())
    {
        return items;
    }
    std::size_t index = 0;
    for (const auto& item : list->value)
    {
        items.push_back({item, child_path(list->path, std::to_string(index))});
        ++index;
    }
    return items;
}

// The keys found so far in a scope in which they must be unique, with their
// paths.
class unique_scope
{
public:
    explicit unique_scope(std::string scope) : m_scope(std::move(scope)) {}

    void add(const located_value& item, const std::string& key,
             error_list& errors)
    {
        const auto [entry, inserted] =
            m_path_of_key.try_emplace(key, item.path);
        if (!inserted)
        {
            errors.push_back(
                {item.path, describe(item.value),
                 fmt::format("unique {}; also at {}", m_scope, entry->second)});
        }
    }

    // Adds a value as its own key, if it is a string or a number.
    void add(const std::optional<located_value>& item, error_list& errors)
    {
        if (item && (item->value.is_string() || item->value.is_number()))
        {
            add(*item, item->value.dump(), errors);
        }
    }

private:
    std::string m_scope;
    std::map<std::string, std::string> m_path_of_key;
};

void check_regions(const located_value& root, error_list& errors)
{
    unique_scope names("over the regions");
    unique_scope places("over all places");
    for (const auto& region : elements(root, "regions"))
    {
        names.add(field(region, "name"), errors);
        for (const auto& place : elements(region, "places"))
        {
            places.add(place, errors);
        }
    }
    const auto regions = field(root, "regions");
    const bool has_no_region =
        regions && regions->value.is_array() && regions->value.empty();
    if (has_no_region && !elements(root, "services").empty())
    {
        errors.push_back({regions->path, describe(regions->value),
                          "at least one region where services are declared"});
    }
}

bool is_usable(const endpoint& address)
{
    return address.port != 0 && address.address != ip_address() &&
           address.address !=
               ip_address::from_v4(std::array<std::uint8_t, 4>{0, 0, 0, 0});
}

// `prefix` separates scopes, such as protocols, that may use the same address.
void check_address(const located_value& item, const std::string& prefix,
                   unique_scope& addresses, error_list& errors)
{
    if (!item.value.is_string())
    {
        return;
    }
    const auto parsed =
        endpoint::parse(item.value.get_ref<const std::string&>());
    if (!parsed || !is_usable(*parsed))
    {
        errors.push_back({item.path, describe(item.value),
                          "an IP address and a port other than 0, such as "
                          "\"192.0.2.1:80\" or \"[2001:db8::1]:80\""});
        return;
    }
    addresses.add(item, prefix + parsed->to_string(), errors);
}

void check_addresses(const located_value& service, unique_scope& addresses,
                     error_list& errors)
{
    const auto protocol = field(service, "protocol");
    const auto prefix = protocol ? protocol->value.dump() : std::string();
    for (const auto& item : elements(service, "addresses"))
    {
        check_address(item, prefix, addresses, errors);
    }
}

// The value of a limit: the default if it is absent, empty if it is no unsigned
// number.
std::optional<std::uint64_t> limit(const located_value& limits,
                                   const char* name,
                                   std::uint64_t default_value)
{
    const auto value = field(limits, name);
    if (!value)
    {
        return default_value;
    }
    if (!value->value.is_number_unsigned())
    {
        return std::nullopt;
    }
    return value->value.get<std::uint64_t>();
}

void check_limits(const located_value& service, error_list& errors)
{
    const auto limits = field(service, "limits");
    if (!limits || !limits->value.is_object())
    {
        return;
    }
    const target_limits defaults;
    const auto slots = limit(*limits, "slots", defaults.slots);
    const auto connections =
        limit(*limits, "connections", defaults.connections);
    if (slots && connections && *slots > *connections)
    {
        errors.push_back(
            {child_path(limits->path, "slots"), std::to_string(*slots),
             fmt::format("at most the connections ({})", *connections)});
    }
}

void check_milliseconds(const std::optional<located_value>& seconds,
                        error_list& errors)
{
    if (!seconds || !seconds->value.is_number_float())
    {
        return;
    }
    constexpr double milliseconds_per_second = 1000;
    // Decimal fractions have no exact binary representation.
    constexpr double tolerance = 1e-6;
    const double value = seconds->value.get<double>() * milliseconds_per_second;
    if (std::abs(value - std::round(value)) > tolerance)
    {
        errors.push_back({seconds->path, describe(seconds->value),
                          "a whole number of milliseconds"});
    }
}

void check_services(const located_value& root, error_list& errors)
{
    unique_scope ids("over the services");
    unique_scope names("over the services");
    unique_scope addresses("over the services of one protocol");
    for (const auto& service : elements(root, "services"))
    {
        ids.add(field(service, "id"), errors);
        names.add(field(service, "name"), errors);
        check_addresses(service, addresses, errors);
        check_limits(service, errors);
        check_milliseconds(field(service, "cold_start_s"), errors);
        check_milliseconds(field(service, "silent_after_s"), errors);
        unique_scope kinds("over the kinds of one service");
        for (const auto& kind : elements(service, "kinds"))
        {
            kinds.add(field(kind, "name"), errors);
        }
    }
}

std::set<std::string> declared_ids(const located_value& root)
{
    std::set<std::string> ids;
    for (const auto& service : elements(root, "services"))
    {
        if (const auto id = field(service, "id"))
        {
            ids.insert(id->value.dump());
        }
    }
    return ids;
}

void check_shares(const located_value& route, const std::set<std::string>& ids,
                  error_list& errors)
{
    unique_scope services("over the shares of one route");
    for (const auto& share : elements(route, "shares"))
    {
        const auto service = field(share, "service");
        services.add(service, errors);
        if (service && ids.count(service->value.dump()) == 0)
        {
            errors.push_back({service->path, describe(service->value),
                              "the id of a declared service"});
        }
    }
}

// A route may have the same address as a service, since a document may move an
// address from one list to the other.
void check_routes(const located_value& root, error_list& errors)
{
    const auto ids = declared_ids(root);
    unique_scope addresses("over the routes");
    unique_scope names("over the routes");
    for (const auto& route : elements(root, "routes"))
    {
        names.add(field(route, "name"), errors);
        check_shares(route, ids, errors);
        check_milliseconds(field(route, "timeout_s"), errors);
        check_milliseconds(field(route, "aim_s"), errors);
        if (const auto address = field(route, "address"))
        {
            check_address(*address, "", addresses, errors);
        }
    }
}

void check_drains(const located_value& root, error_list& errors)
{
    unique_scope drains("over the drains");
    for (const auto& drain : elements(root, "drains"))
    {
        drains.add(drain, errors);
    }
}

} // namespace

std::vector<document_error> check_cross_field_rules(const json& value)
{
    error_list errors;
    const located_value root{value, ""};
    check_regions(root, errors);
    check_services(root, errors);
    check_routes(root, errors);
    check_drains(root, errors);
    return errors;
}

} // namespace crowlink::internal
