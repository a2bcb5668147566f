#pragma once

#include "crowlink/base/flow_key.hpp"

#include <compare>
#include <cstddef>

namespace crowlink::internal
{

// An address of a service with its protocol: the key of the address index.
struct service_address
{
    endpoint address;
    transport protocol = transport::udp;

    friend auto operator<=>(const service_address&,
                            const service_address&) = default;
};

// XXH3 of an address.
struct address_hash
{
    std::size_t operator()(const service_address& value) const;
};

} // namespace crowlink::internal
