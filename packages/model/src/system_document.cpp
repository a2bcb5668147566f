#include "crowlink/model/system_document.hpp"

#include "crowlink/base/hash.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace crowlink
{

namespace
{

// Numbers from here on name groups of balancers; see membership.
constexpr std::uint32_t numbers_of_services = 0x7fffffffU;

// The other services to which an address led before.
std::vector<service_id> find_former(const std::vector<former_service>& former,
                                    const endpoint& address, const service& own)
{
    std::vector<service_id> found;
    const former_service first{address, own.protocol, service_id()};
    for (auto each = std::lower_bound(former.begin(), former.end(), first);
         each != former.end() && each->address == address &&
         each->protocol == own.protocol;
         ++each)
    {
        if (each->service != own.id)
        {
            found.push_back(each->service);
        }
    }
    return found;
}

void add_former(service& to, const std::vector<former_service>& former)
{
    for (address_share& share : to.shares)
    {
        share.former = find_former(former, share.address, to);
    }
    for (const endpoint& address : to.addresses)
    {
        std::vector<service_id> found = find_former(former, address, to);
        if (!found.empty())
        {
            to.former.push_back(former_address{address, std::move(found)});
        }
    }
    std::sort(to.former.begin(), to.former.end());
}

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

std::vector<service> with_shares(const system_document& document,
                                 const std::vector<former_service>& former)
{
    std::vector<service> services = with_shares(document);
    if (!former.empty())
    {
        for (service& each : services)
        {
            add_former(each, former);
        }
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
