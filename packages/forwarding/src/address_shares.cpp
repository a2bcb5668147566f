#include "crowlink/forwarding/address_shares.hpp"

#include "crowlink/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace crowlink::internal
{

namespace
{

// More of them are rare and take a heap allocation.
constexpr std::size_t usual_former = 16;

// Maps a hash to the open interval (0, 1). A double holds the upper 53 bits.
double uniform(std::uint64_t hash)
{
    constexpr unsigned dropped_bits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0;
    return (static_cast<double>(hash >> dropped_bits) + 0.5) * scale;
}

// The rendezvous cost -ln u / w, as in forwarding_table; the lowest wins.
double rendezvous_cost(const weighted_service& share, std::uint64_t flow_hash)
{
    const std::uint64_t hash = combine_hash(flow_hash, share.service.value());
    return -std::log(uniform(hash)) / static_cast<double>(share.weight);
}

service_id select_service(const share_list& shares, std::uint64_t flow_hash)
{
    if (shares.size() == 1)
    {
        return shares.front().service;
    }
    service_id selected;
    double lowest = HUGE_VAL;
    for (const weighted_service& share : shares)
    {
        const double cost = rendezvous_cost(share, flow_hash);
        if (cost < lowest)
        {
            lowest = cost;
            selected = share.service;
        }
    }
    return selected;
}

} // namespace

void address_shares::add(const weighted_service& added)
{
    const auto position =
        std::lower_bound(m_current.begin(), m_current.end(), added);
    m_current.insert(position, added);
}

void address_shares::add_former(const std::vector<service_id>& services)
{
    for (const service_id each : services)
    {
        if (std::find(m_published.begin(), m_published.end(), each) ==
            m_published.end())
        {
            m_published.push_back(each);
        }
    }
}

void address_shares::inherit_history(const address_shares& before)
{
    m_former = before.m_former;
    m_older = before.m_older;
    m_absent_updates = empty() ? before.m_absent_updates + 1 : 0;
    if (before.m_current == m_current || before.empty())
    {
        return;
    }
    m_former.insert(m_former.begin(), before.m_current);
    if (m_former.size() > max_former_states)
    {
        add_older(m_former.back());
        m_former.pop_back();
    }
}

void address_shares::add_older(const share_list& shares)
{
    for (const weighted_service& each : shares)
    {
        const auto known =
            std::find(m_older.begin(), m_older.end(), each.service);
        if (known != m_older.end())
        {
            m_older.erase(known);
        }
        m_older.insert(m_older.begin(), each.service);
    }
    if (m_older.size() > max_older_services)
    {
        m_older.resize(max_older_services);
    }
}

service_id address_shares::choose(std::uint64_t flow_hash) const
{
    return select_service(m_current, flow_hash);
}

former_services address_shares::choose_former(std::uint64_t flow_hash,
                                              std::uint32_t turn) const
{
    former_services found;
    if (m_former.empty() && m_published.empty())
    {
        return found;
    }
    boost::container::small_vector<service_id, usual_former> all;
    const service_id current = choose(flow_hash);
    const auto add = [&all, current](service_id former)
    {
        const bool is_known =
            former == current ||
            std::find(all.begin(), all.end(), former) != all.end();
        if (!is_known)
        {
            all.push_back(former);
        }
    };
    for (const share_list& shares : m_former)
    {
        add(select_service(shares, flow_hash));
    }
    std::for_each(m_older.begin(), m_older.end(), add);
    std::for_each(m_published.begin(), m_published.end(), add);
    const std::size_t room = found.services.capacity();
    found.has_more = all.size() > room;
    const std::size_t first = found.has_more ? turn * room : 0;
    for (std::size_t at = 0; at < std::min(room, all.size()); ++at)
    {
        found.services.push_back(all[(first + at) % all.size()]);
    }
    return found;
}

} // namespace crowlink::internal
