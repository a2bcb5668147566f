#pragma once

#include "crowlink/model/service_view.hpp"

#include <fmt/format.h>

namespace crowlink::sample
{

inline endpoint agent_of(std::uint32_t number)
{
    const std::array<std::uint8_t, 4> bytes{
        10, static_cast<std::uint8_t>(number >> 16U),
        static_cast<std::uint8_t>(number >> 8U),
        static_cast<std::uint8_t>(number)};
    return endpoint{ip_address::from_v4(bytes), 7000};
}

inline upstream_record member(std::uint32_t service, std::uint32_t number)
{
    upstream_record record;
    record.id = upstream_id(fmt::format("u{}-{}", service, number));
    record.service = service_id(service);
    record.started = incarnation(1);
    record.sequence = 1;
    record.agent = agent_of(service * 4096 + number);
    return record;
}

inline endpoint address_of(std::uint32_t service)
{
    const std::array<std::uint8_t, 4> bytes{
        192, 0, static_cast<std::uint8_t>(service >> 8U),
        static_cast<std::uint8_t>(service)};
    return endpoint{ip_address::from_v4(bytes), 80};
}

// A service at version 1 whose members have equal weight.
inline service_view view(std::uint32_t service, std::uint32_t members)
{
    service_view value;
    value.version = config_version(1);
    value.declared.id = service_id(service);
    value.declared.name = fmt::format("service-{}", service);
    value.declared.addresses = {address_of(service)};
    for (std::uint32_t i = 0; i < members; ++i)
    {
        value.members.push_back(member(service, i));
    }
    return value;
}

inline flow_key flow(std::uint32_t service, std::uint32_t number)
{
    const std::array<std::uint8_t, 4> caller{
        203, static_cast<std::uint8_t>(number >> 24U),
        static_cast<std::uint8_t>(number >> 16U), 7};
    return flow_key{endpoint{ip_address::from_v4(caller),
                             static_cast<std::uint16_t>(number + 1)},
                    address_of(service), transport::udp};
}

} // namespace crowlink::sample
