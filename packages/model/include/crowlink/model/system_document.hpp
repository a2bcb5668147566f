#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/model/former_service.hpp"
#include "crowlink/model/place.hpp"
#include "crowlink/model/route.hpp"
#include "crowlink/model/service.hpp"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace crowlink
{

// The operators' document: the whole truth about what the system should do.
// Upstreams are not listed in it; they announce themselves.
struct system_document
{
    std::vector<place> places;
    std::vector<service> services;
    // Upstreams that take no new flow, by the operators' decision.
    std::vector<upstream_id> drains{};
    // Addresses that are shared among services. No two routes have one address.
    std::vector<route> routes{};
    // The text that an adapter made the document from, for its own use; empty
    // for a document that operators wrote in this form.
    std::string source{};

    friend auto operator<=>(const system_document&,
                            const system_document&) = default;
};

// The services with the shares that the routes give them.
std::vector<service> with_shares(const system_document& document);
// The same, with what `former` says of their addresses; it must be sorted.
std::vector<service> with_shares(const system_document& document,
                                 const std::vector<former_service>& former);

// The number of a service that is known by its name alone: the same on every
// host, without agreement. Two names may have one number; whoever makes a
// document of names refuses that.
service_id number_of_service(std::string_view name);

} // namespace crowlink
