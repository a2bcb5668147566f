#pragma once

#include "crowlink/membership.hpp"

#include <fmt/format.h>

namespace crowlink::bench
{

inline endpoint sample_endpoint(std::size_t index, std::uint16_t port)
{
    const std::array<std::uint8_t, 4> bytes{
        10, static_cast<std::uint8_t>(index >> 16U),
        static_cast<std::uint8_t>(index >> 8U),
        static_cast<std::uint8_t>(index)};
    return endpoint{ip_address::from_v4(bytes), port};
}

// Upstream names have 18 bytes, places 9, as in "hall-registre-0042".
inline upstream_record sample_record(std::size_t index, std::size_t services,
                                     std::size_t places)
{
    upstream_record out;
    out.id = upstream_id(fmt::format("upstream-host-{:05}", index % 100000));
    out.service = service_id(static_cast<std::uint32_t>(index % services + 1));
    out.started = first_incarnation(1796000000000 + index, index * 7919);
    out.sequence = 1;
    out.agent = sample_endpoint(index, 7000);
    out.where = place_id(fmt::format("place-{:03}", index % places));
    return out;
}

// A service with some addresses and the usual settings.
inline service sample_service(std::size_t index, std::size_t addresses)
{
    service out;
    out.id = service_id(static_cast<std::uint32_t>(index + 1));
    out.name = fmt::format("service-{:05}", index);
    for (std::size_t each = 0; each < addresses; ++each)
    {
        out.addresses.push_back(sample_endpoint(index * addresses + each, 80));
    }
    return out;
}

inline system_document sample_document(std::size_t services,
                                       std::size_t addresses)
{
    system_document out;
    for (std::size_t index = 0; index < services; ++index)
    {
        out.services.push_back(sample_service(index, addresses));
    }
    return out;
}

} // namespace crowlink::bench
