#pragma once

#include "crowlink/membership/share_update.hpp"

#include <vector>

namespace crowlink::internal
{

// Whether the share of one version must be at nodes when the next one's is in
// force. Changed terms can wait, and so can former services that are forgotten.
bool differs_at_once(const address_share& before, const address_share& next);

// Applies updates that change the terms of known shares alone, in place. False,
// without effect, if any changes more.
bool update_terms(std::vector<address_share>& shares,
                  const std::vector<share_update>& updates);

// The shares with updates applied to them. The shares are sorted by address;
// the updates need not be, and the last one of an address counts.
std::vector<address_share>
merge_shares(const std::vector<address_share>& shares,
             std::vector<share_update> updates);

} // namespace crowlink::internal
