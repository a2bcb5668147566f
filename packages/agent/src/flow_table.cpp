#include "crowlink/agent/flow_table.hpp"

namespace crowlink::internal
{

namespace
{

constexpr duration order_precision = std::chrono::seconds(1);

// Entries are changed in place; none of the changed members is a key.
flow_entry* writable(const flow_entry& entry)
{
    return const_cast<flow_entry*>(&entry);
}

} // namespace

flow_entry* flow_table::find(const flow_key& key)
{
    const auto& index = m_flows.get<by_key>();
    const auto found = index.find(key);
    return found == index.end() ? nullptr : writable(*found);
}

flow_entry& flow_table::open(const flow_key& key, time_point now)
{
    flow_entry entry;
    entry.key = key;
    entry.opened = now;
    entry.active = now;
    const auto added = m_flows.get<by_activity>().push_front(entry);
    return *writable(*added.first);
}

void flow_table::set_lingering(flow_entry& entry, bool lingering)
{
    if (entry.lingering == lingering)
    {
        return;
    }
    entry.lingering = lingering;
    m_lingering += lingering ? 1 : -1;
}

void flow_table::erase(const flow_key& key)
{
    auto& index = m_flows.get<by_key>();
    const auto found = index.find(key);
    if (found == index.end())
    {
        return;
    }
    set_lingering(*writable(*found), false);
    skip_in_iteration(m_flows.project<by_activity>(found));
    index.erase(found);
}

void flow_table::touch(flow_entry& entry, time_point now)
{
    if (now - entry.active < order_precision)
    {
        return;
    }
    entry.active = now;
    auto& order = m_flows.get<by_activity>();
    const auto place = order.iterator_to(entry);
    skip_in_iteration(place);
    order.relocate(order.begin(), place);
}

flow_entry* flow_table::least_recent()
{
    auto& order = m_flows.get<by_activity>();
    return order.empty() ? nullptr : writable(order.back());
}

void flow_table::rewind()
{
    m_walk = m_flows.get<by_activity>().begin();
}

flow_entry* flow_table::next()
{
    if (m_walk == m_flows.get<by_activity>().end())
    {
        return nullptr;
    }
    return writable(*m_walk++);
}

void flow_table::skip_in_iteration(activity_iterator place)
{
    if (m_walk == place)
    {
        ++m_walk;
    }
}

} // namespace crowlink::internal
