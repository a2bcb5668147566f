#pragma once

#include "crowlink/forwarding/candidate.hpp"
#include "crowlink/model/service_view.hpp"
#include "crowlink/wire/key_ring.hpp"

#include <array>
#include <cstdint>
#include <fmt/format.h>
#include <random>
#include <vector>

namespace crowlink::bench
{

constexpr std::uint64_t seed = 20261202;
// Enough flows that neither caches nor branch predictors learn them by heart.
constexpr std::size_t flow_count = 8192;

inline ip_address address(std::uint8_t net, std::uint32_t number)
{
    const std::array<std::uint8_t, 4> bytes{
        net, static_cast<std::uint8_t>(number >> 16U),
        static_cast<std::uint8_t>(number >> 8U),
        static_cast<std::uint8_t>(number)};
    return ip_address::from_v4(bytes);
}

inline endpoint service_address(std::uint32_t service)
{
    return endpoint{address(192, service), 443};
}

// A service with members of equal weight, or of weights from 50 to 150.
inline service_view view(std::uint32_t service, std::uint32_t members,
                         bool weighted = false)
{
    std::mt19937_64 random(seed + service);
    service_view value;
    value.version = config_version(1);
    value.declared.id = service_id(service);
    value.declared.name = fmt::format("service-{}", service);
    value.declared.addresses = {service_address(service)};
    for (std::uint32_t i = 0; i < members; ++i)
    {
        upstream_record record;
        record.id =
            upstream_id(fmt::format("upstream-{:05}-{:05}", service, i));
        record.service = value.declared.id;
        record.started = incarnation(1);
        record.agent = endpoint{address(10, service * 64 + i), 7000};
        record.where = place_id("makati");
        record.weight = weighted ? 50 + random() % 101 : 100;
        value.members.push_back(record);
    }
    return value;
}

// The members of a view as a table offers them.
inline std::vector<candidate> candidates(const service_view& view)
{
    std::vector<candidate> found;
    for (const upstream_record& record : view.members)
    {
        found.push_back(
            candidate{record.agent, tag_of(record.id, record.started)});
    }
    return found;
}

// Flows of callers to random ones of the first services.
inline std::vector<flow_key> flows(std::uint32_t services,
                                   transport protocol = transport::udp)
{
    std::mt19937_64 random(seed);
    std::vector<flow_key> keys;
    for (std::size_t i = 0; i < flow_count; ++i)
    {
        const auto service = static_cast<std::uint32_t>(random() % services);
        const endpoint caller{
            address(203, static_cast<std::uint32_t>(random())),
            static_cast<std::uint16_t>(1024 + random() % 60000)};
        keys.push_back(flow_key{caller, service_address(service), protocol});
    }
    return keys;
}

inline key_ring keys()
{
    key_ring ring;
    ring.signing.bytes.fill(7);
    return ring;
}

} // namespace crowlink::bench
