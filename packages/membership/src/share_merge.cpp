#include "share_merge.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

void sort_and_unite(std::vector<share_update>& updates)
{
    std::stable_sort(updates.begin(), updates.end(),
                     [](const share_update& one, const share_update& two)
                     { return one.share.address < two.share.address; });
    const auto kept =
        std::unique(updates.rbegin(), updates.rend(),
                    [](const share_update& one, const share_update& two)
                    { return one.share.address == two.share.address; });
    updates.erase(updates.begin(), kept.base());
}

} // namespace

merged_shares merge_shares(const std::vector<address_share>& shares,
                           std::vector<share_update> updates)
{
    sort_and_unite(updates);
    merged_shares out;
    out.shares.reserve(shares.size() + updates.size());
    auto held = shares.begin();
    for (const share_update& update : updates)
    {
        const endpoint& address = update.share.address;
        for (; held != shares.end() && held->address < address; ++held)
        {
            out.shares.push_back(*held);
        }
        const bool is_known = held != shares.end() && held->address == address;
        const bool keeps_weight =
            is_known && !update.removed && held->weight == update.share.weight;
        const bool has_no_effect = !is_known && update.removed;
        out.only_terms = out.only_terms && (keeps_weight || has_no_effect);
        if (!update.removed)
        {
            out.shares.push_back(update.share);
        }
        held += is_known ? 1 : 0;
    }
    out.shares.insert(out.shares.end(), held, shares.end());
    return out;
}

} // namespace crowlink::internal
