#pragma once

#include "crowlink/replication/founding_request.hpp"

#include <compare>

namespace crowlink::replication
{

// A seed's answer to a founding_request.
struct founding_reply
{
    founding_phase phase = founding_phase::prepare;
    // Of the request.
    founding_ballot ballot;
    // The highest ballot promised; the request was refused if it is higher.
    founding_ballot promised;
    // The ballot of the voters that were accepted last; the default if none.
    founding_ballot accepted;
    membership voters;

    friend auto operator<=>(const founding_reply&,
                            const founding_reply&) = default;
};

} // namespace crowlink::replication
