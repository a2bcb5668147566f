#pragma once

#include "crowlink/forwarding/service_tables.hpp"

#include <memory>

namespace crowlink::internal
{

// A service's tables after a view of it arrived; null if the view tells nothing
// new or is older than the held one. `held` is null for a new service.
std::shared_ptr<const service_tables> merged(const service_tables* held,
                                             const service_view& view);

} // namespace crowlink::internal
