#pragma once

#include "crowlink/agent/flow_entry.hpp"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>

namespace crowlink::internal
{

// The flows that an agent owns, indexed by key and ordered by activity, the
// most recent first. Entries do not move in memory.
class flow_table
{
public:
    // The flow, or null.
    flow_entry* find(const flow_key& key);

    // Adds a flow as the most recent. The flow must not exist yet.
    flow_entry& open(const flow_key& key, time_point now);

    void erase(const flow_key& key);

    // Records activity of the flow. The order is kept to a second, so that busy
    // flows aren't moved for each packet.
    void touch(flow_entry& entry, time_point now);

    // The least recently active flow, or null.
    flow_entry* least_recent();

    // A lingering flow is kept but uses no capacity of the upstream.
    void set_lingering(flow_entry& entry, bool lingering);

    // The number of all flows, of those that do not linger and of those that
    // do.
    std::size_t size() const { return m_flows.size(); }
    std::size_t open_count() const { return m_flows.size() - m_lingering; }
    std::size_t lingering_count() const { return m_lingering; }

    // Restarts the iteration over all flows, most recent first.
    void rewind();
    // The next flow of the iteration; null at its end. Flows that are touched
    // before the iteration reaches them are skipped.
    flow_entry* next();

private:
    struct by_key
    {
    };
    struct by_activity
    {
    };
    using container = boost::multi_index_container<
        flow_entry, boost::multi_index::indexed_by<
                        boost::multi_index::hashed_unique<
                            boost::multi_index::tag<by_key>,
                            boost::multi_index::member<flow_entry, flow_key,
                                                       &flow_entry::key>,
                            std::hash<flow_key>>,
                        boost::multi_index::sequenced<
                            boost::multi_index::tag<by_activity>>>>;
    using activity_iterator =
        boost::multi_index::index<container, by_activity>::type::iterator;

    void skip_in_iteration(activity_iterator place);

    container m_flows;
    std::size_t m_lingering = 0;
    activity_iterator m_walk = m_flows.get<by_activity>().end();
};

} // namespace crowlink::internal
