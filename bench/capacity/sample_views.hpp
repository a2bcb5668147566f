#pragma once

#include "crowlink/model/service_view.hpp"

#include <cstddef>
#include <cstdint>

namespace crowlink::capacity
{

// The address that callers of a service use.
endpoint service_endpoint(std::size_t service);

// The record of an upstream; agents have different addresses.
upstream_record sample_record(std::size_t service, std::size_t upstream,
                              std::uint64_t sequence = 1);

// A service as an operator would declare it.
service sample_service(std::size_t service);

// A view of a service with so many ready members.
service_view sample_view(std::size_t service, std::size_t members,
                         std::uint64_t sequence = 1);

// One of many flows to a service.
flow_key sample_flow(std::size_t service, std::uint32_t number);

} // namespace crowlink::capacity
