#include "crowlink/model/system_document.hpp"

#include "crowlink/base/hash.hpp"

#include <algorithm>
#include <map>

namespace crowlink
{

namespace
{

// Numbers from here on name groups of balancers; see membership.
constexpr std::uint32_t numbers_of_services = 0x7fffffffU;

} // namespace

std::vector<service> with_shares(const system_document& document)
{
    std::map<service_id, std::vector<address_share>> shares;
    for (const route& each : document.routes)
    {
        for (const route_share& part : each.shares)
        {
            shares[part.service].push_back(
                address_share{each.address, part.weight, each.terms});
        }
    }
    std::vector<service> services = document.services;
    for (service& each : services)
    {
        each.shares = shares[each.id];
        std::sort(each.shares.begin(), each.shares.end());
    }
    return services;
}

service_id number_of_service(std::string_view name)
{
    const std::uint64_t hash = stable_hash(name);
    return service_id(
        1U + static_cast<std::uint32_t>(hash % (numbers_of_services - 1U)));
}

} // namespace crowlink
