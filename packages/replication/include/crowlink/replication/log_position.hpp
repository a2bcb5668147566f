#pragma once

#include <cstdint>

namespace crowlink::replication
{

// A period with at most one leader. Terms increase; 0 is before the first
// election.
using term_number = std::uint64_t;

// The position of an entry in the log, from 1; 0 is before the first entry.
using log_index = std::uint64_t;

} // namespace crowlink::replication
