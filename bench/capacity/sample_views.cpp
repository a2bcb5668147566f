#include "sample_views.hpp"

#include <array>
#include <fmt/format.h>

namespace crowlink::capacity
{

namespace
{

constexpr std::uint16_t service_port = 443;
constexpr std::uint16_t agent_port = 7001;

ip_address numbered(std::uint8_t net, std::size_t number)
{
    const std::array<std::uint8_t, 4> bytes{
        net, static_cast<std::uint8_t>(number >> 16),
        static_cast<std::uint8_t>(number >> 8),
        static_cast<std::uint8_t>(number)};
    return ip_address::from_v4(bytes);
}

service_id number_of(std::size_t service)
{
    return service_id(static_cast<std::uint32_t>(service + 1));
}

} // namespace

endpoint service_endpoint(std::size_t service)
{
    return {numbered(100, service), service_port};
}

upstream_record sample_record(std::size_t service, std::size_t upstream,
                              std::uint64_t sequence)
{
    upstream_record record;
    record.id = upstream_id(fmt::format("host-{:05}-{:05}", service, upstream));
    record.service = number_of(service);
    record.started = incarnation(1700000000000ULL << 16U);
    record.sequence = sequence;
    record.agent = {numbered(10, service * 4096 + upstream), agent_port};
    record.where = place_id(fmt::format("place-{}", upstream % 12));
    return record;
}

service sample_service(std::size_t service_number)
{
    service declared;
    declared.id = number_of(service_number);
    declared.name = fmt::format("service-{}", service_number);
    declared.addresses = {service_endpoint(service_number)};
    return declared;
}

service_view sample_view(std::size_t service, std::size_t members,
                         std::uint64_t sequence)
{
    service_view view;
    view.version = config_version(1);
    view.declared = sample_service(service);
    for (std::size_t index = 0; index < members; ++index)
    {
        view.members.push_back(sample_record(service, index, sequence));
    }
    return view;
}

flow_key sample_flow(std::size_t service, std::uint32_t number)
{
    constexpr std::uint32_t ports = 60000;
    constexpr std::uint32_t first_port = 1024;
    return {{numbered(11, number / ports),
             static_cast<std::uint16_t>(first_port + number % ports)},
            service_endpoint(service),
            transport::udp};
}

} // namespace crowlink::capacity
