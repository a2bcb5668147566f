#pragma once

#include "crowlink/base/ids.hpp"

namespace crowlink
{

class forwarding_table;

// The tables of a service, stored together for fast packet routing. The
// pointers are valid as long as the forwarding set that holds the pair.
struct table_pair
{
    service_id service;
    const forwarding_table* current = nullptr;
    // Null for a new service.
    const forwarding_table* previous = nullptr;
};

} // namespace crowlink
