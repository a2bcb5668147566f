#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink::replication
{

// The number of a proposal of the initial voters. The default precedes all.
struct founding_ballot
{
    std::uint64_t round = 0;
    host_id proposer;
    // Drawn by each process, so that a host that restarts reuses no ballot.
    std::uint64_t life = 0;

    friend auto operator<=>(const founding_ballot&,
                            const founding_ballot&) = default;
};

} // namespace crowlink::replication
