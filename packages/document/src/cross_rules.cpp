#include "cross_rules.hpp"

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
using errors_type = std::vector<document_error>;

// A value and the path to it.
struct located
{
    const json& value;
    std::string path;
};

// A field of an object, if both are there.
std::optional<located> field(const located& object, const char* name)
{
    if (!object.value.is_object() || !object.value.contains(name))
    {
        return std::nullopt;
    }
    return located{object.value.at(name), child_path(object.path, name)};
}

// The elements of a field that is a list; none of any other value.
std::vector<located> elements(const located& object, const char* name)
{
    std::vector<located> items;
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

// The keys seen so far in one scope, and where.
class unique_scope
{
public:
    explicit unique_scope(std::string scope) : m_scope(std::move(scope)) {}

    void add(const located& item, const std::string& key, errors_type& errors)
    {
        const auto [entry, fresh] = m_seen.try_emplace(key, item.path);
        if (!fresh)
        {
            errors.push_back(
                {item.path, describe(item.value),
                 fmt::format("unique {}; also at {}", m_scope, entry->second)});
        }
    }

    // Adds a value as its own key, if it is of a kind that can be one.
    void add(const std::optional<located>& item, errors_type& errors)
    {
        if (item && (item->value.is_string() || item->value.is_number()))
        {
            add(*item, item->value.dump(), errors);
        }
    }

private:
    std::string m_scope;
    std::map<std::string, std::string> m_seen;
};

void check_regions(const located& root, errors_type& errors)
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
    const bool no_region =
        regions && regions->value.is_array() && regions->value.empty();
    if (no_region && !elements(root, "services").empty())
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

// The prefix sets apart scopes in which one address may stand again.
void check_address(const located& item, const std::string& prefix,
                   unique_scope& addresses, errors_type& errors)
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

void check_addresses(const located& service, unique_scope& addresses,
                     errors_type& errors)
{
    const auto protocol = field(service, "protocol");
    const auto prefix = protocol ? protocol->value.dump() : std::string();
    for (const auto& item : elements(service, "addresses"))
    {
        check_address(item, prefix, addresses, errors);
    }
}

// A limit, its default where it is absent, nothing where it is no number.
std::optional<std::uint64_t> limit(const located& limits, const char* name,
                                   std::uint64_t otherwise)
{
    const auto value = field(limits, name);
    if (!value)
    {
        return otherwise;
    }
    if (!value->value.is_number_unsigned())
    {
        return std::nullopt;
    }
    return value->value.get<std::uint64_t>();
}

void check_limits(const located& service, errors_type& errors)
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

void check_milliseconds(const std::optional<located>& seconds,
                        errors_type& errors)
{
    if (!seconds || !seconds->value.is_number_float())
    {
        return;
    }
    constexpr double milliseconds_per_second = 1000;
    // Decimal fractions are not exact in binary.
    constexpr double tolerance = 1e-6;
    const double value = seconds->value.get<double>() * milliseconds_per_second;
    if (std::abs(value - std::round(value)) > tolerance)
    {
        errors.push_back({seconds->path, describe(seconds->value),
                          "a whole number of milliseconds"});
    }
}

void check_services(const located& root, errors_type& errors)
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

std::set<std::string> declared_ids(const located& root)
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

void check_shares(const located& route, const std::set<std::string>& ids,
                  errors_type& errors)
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

// Whether a service has the address is not asked: a document may move an
// address from the one list to the other.
void check_routes(const located& root, errors_type& errors)
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

void check_drains(const located& root, errors_type& errors)
{
    unique_scope drains("over the drains");
    for (const auto& drain : elements(root, "drains"))
    {
        drains.add(drain, errors);
    }
}

} // namespace

std::vector<document_error> check_cross_rules(const json& value)
{
    errors_type errors;
    const located root{value, ""};
    check_regions(root, errors);
    check_services(root, errors);
    check_routes(root, errors);
    check_drains(root, errors);
    return errors;
}

} // namespace crowlink::internal
