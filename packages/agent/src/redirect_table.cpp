#include "crowlink/agent/redirect_table.hpp"

namespace crowlink::internal
{

namespace
{

constexpr std::size_t max_expired_per_call = 4096;

} // namespace

const redirect_entry* redirect_table::find(const flow_key& flow, time_point now)
{
    const auto& index = m_entries.get<by_flow>();
    const auto found = index.find(flow);
    if (found == index.end() || found->expires <= now)
    {
        return nullptr;
    }
    return &*found;
}

void redirect_table::put(const redirect_entry& entry)
{
    auto& index = m_entries.get<by_flow>();
    const auto found = index.find(entry.flow);
    if (found != index.end())
    {
        index.replace(found, entry);
        return;
    }
    if (m_entries.size() >= m_limit)
    {
        auto& order = m_entries.get<by_expiry>();
        order.erase(order.begin());
        ++m_evicted;
    }
    m_entries.insert(entry);
}

void redirect_table::erase(const flow_key& flow)
{
    m_entries.get<by_flow>().erase(flow);
}

void redirect_table::withdraw(const flow_key& flow, const candidate& owner)
{
    auto& index = m_entries.get<by_flow>();
    const auto found = index.find(flow);
    if (found != index.end() && !found->is_hint() && found->to == owner)
    {
        index.erase(found);
    }
}

void redirect_table::expire(time_point now)
{
    auto& order = m_entries.get<by_expiry>();
    std::size_t left = max_expired_per_call;
    while (left > 0 && !order.empty() && order.begin()->expires <= now)
    {
        order.erase(order.begin());
        --left;
    }
}

} // namespace crowlink::internal
