#pragma once

#include "crowlink/base/endpoint.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace crowlink
{

// The transport protocols that are balanced; values are the IANA numbers.
enum class transport : std::uint8_t
{
    tcp = 6,
    udp = 17,
};

// The five-tuple that identifies a flow, seen from the caller's side.
struct flow_key
{
    endpoint caller;
    endpoint service;
    transport protocol = transport::udp;

    // "udp 192.0.2.7:4711 > 198.51.100.1:80", as logs and `explain` show it.
    std::string to_string() const;

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

// The hash of a flow that all hosts agree on: it seeds the order of its
// candidates. XXH3 with a fixed seed.
std::uint64_t stable_hash(const flow_key& key);

} // namespace crowlink

template <>
struct std::hash<crowlink::flow_key>
{
    std::size_t operator()(const crowlink::flow_key& key) const
    {
        return crowlink::stable_hash(key);
    }
};
