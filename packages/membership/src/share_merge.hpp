#pragma once

#include "crowlink/membership/share_update.hpp"

#include <vector>

namespace crowlink::internal
{

// Shares with updates applied to them, and whether only terms of known shares
// differ.
struct merged_shares
{
    std::vector<address_share> shares;
    bool only_terms = true;
};

// The shares are sorted by address; the updates need not be, and the last one
// of an address counts.
merged_shares merge_shares(const std::vector<address_share>& shares,
                           std::vector<share_update> updates);

} // namespace crowlink::internal
