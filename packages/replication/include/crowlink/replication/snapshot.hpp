#pragma once

#include "crowlink/replication/log_position.hpp"
#include "crowlink/replication/membership.hpp"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

namespace crowlink::replication
{

// The state after one entry, which replaces the log up to that entry. The core
// and the storage share the immutable bytes.
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
