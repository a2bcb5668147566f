#pragma once

#include "crowlink/replication/log_position.hpp"
#include "crowlink/replication/membership.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace crowlink::replication
{

// The state machine after one entry, in place of the log up to there. The bytes
// are shared between the core and the storage, never changed.
struct snapshot
{
    log_index index = 0;
    term_number term = 0;
    membership members;
    std::uint64_t cluster = 0;
    std::shared_ptr<const std::string> data;

    friend auto operator<=>(const snapshot&, const snapshot&) = default;
};

} // namespace crowlink::replication
