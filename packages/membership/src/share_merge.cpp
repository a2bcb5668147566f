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

// The share of an address, or null.
template <class Shares>
auto find_share(Shares& shares, const endpoint& address)
{
    const auto found =
        std::lower_bound(shares.begin(), shares.end(), address,
                         [](const address_share& held, const endpoint& wanted)
                         { return held.address < wanted; });
    const bool is_there = found != shares.end() && found->address == address;
    return is_there ? &*found : nullptr;
}

} // namespace

bool differs_at_once(const address_share& before, const address_share& next)
{
    return before.weight != next.weight ||
           !std::includes(before.former.begin(), before.former.end(),
                          next.former.begin(), next.former.end());
}

bool update_terms(std::vector<address_share>& shares,
                  const std::vector<share_update>& updates)
{
    const auto changes_more = [&shares](const share_update& update)
    {
        const address_share* held = find_share(shares, update.share.address);
        return held == nullptr || update.removed ||
               differs_at_once(*held, update.share);
    };
    if (std::any_of(updates.begin(), updates.end(), changes_more))
    {
        return false;
    }
    for (const share_update& update : updates)
    {
        address_share& held = *find_share(shares, update.share.address);
        held.terms = update.share.terms;
        held.former = update.share.former;
    }
    return true;
}

std::vector<address_share>
merge_shares(const std::vector<address_share>& shares,
             std::vector<share_update> updates)
{
    sort_and_unite(updates);
    std::vector<address_share> out;
    out.reserve(shares.size() + updates.size());
    auto held = shares.begin();
    for (const share_update& update : updates)
    {
        const endpoint& address = update.share.address;
        for (; held != shares.end() && held->address < address; ++held)
        {
            out.push_back(*held);
        }
        if (!update.removed)
        {
            out.push_back(update.share);
        }
        const bool is_known = held != shares.end() && held->address == address;
        held += is_known ? 1 : 0;
    }
    out.insert(out.end(), held, shares.end());
    return out;
}

} // namespace crowlink::internal
