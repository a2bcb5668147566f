#pragma once

#include "crowlink/base/ids.hpp"

namespace crowlink
{

class forwarding_table;

// What routing needs of a service, kept together for speed. The tables live as
// long as the set that the pair comes from.
struct table_pair
{
    service_id service;
    const forwarding_table* current = nullptr;
    // Null for a new service.
    const forwarding_table* previous = nullptr;
};

} // namespace crowlink
