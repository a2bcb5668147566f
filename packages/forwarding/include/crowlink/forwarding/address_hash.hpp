#pragma once

#include "crowlink/base/flow_key.hpp"

#include <compare>
#include <cstddef>

namespace crowlink::internal
{

// A service address with its protocol: the key of the address index.
struct service_address
{
    endpoint address;
    transport protocol = transport::udp;

    friend auto operator<=>(const service_address&,
                            const service_address&) = default;
};

// Hashes a service address with XXH3.
struct address_hash
{
    std::size_t operator()(const service_address& value) const;
};

} // namespace crowlink::internal
