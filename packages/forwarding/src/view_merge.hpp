#pragma once

#include "crowlink/forwarding/service_tables.hpp"

#include <memory>

namespace crowlink::internal
{

// Merges a view into a service's tables and returns the result; null if the
// view changes nothing or is older than the stored one. `stored` is null for a
// new service.
std::shared_ptr<const service_tables> merge_view(const service_tables* stored,
                                                 const service_view& view);

} // namespace crowlink::internal
