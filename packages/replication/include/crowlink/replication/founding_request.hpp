#pragma once

#include "crowlink/replication/founding_ballot.hpp"
#include "crowlink/replication/membership.hpp"

#include <compare>
#include <cstdint>

namespace crowlink::replication
{

enum class founding_phase : std::uint8_t
{
    // Asks for a promise to take no lower ballot, and for what was accepted.
    prepare,
    // Asks to accept these voters.
    accept,
    // Tells the voters that they were decided.
    decided,
};

// From a host that proposes the initial voters: to the seeds, and once they are
// decided to the voters.
struct founding_request
{
    founding_phase phase = founding_phase::prepare;
    founding_ballot ballot;
    membership voters;

    friend auto operator<=>(const founding_request&,
                            const founding_request&) = default;
};

} // namespace crowlink::replication
