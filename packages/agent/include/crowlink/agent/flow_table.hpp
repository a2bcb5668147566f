#pragma once

#include "crowlink/agent/flow_entry.hpp"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstddef>

namespace crowlink::internal
{

// The flows that an agent owns: found by key, and in the order of their
// activity, the most recent first. Entries do not move in memory.
class flow_table
{
public:
    // The flow, or null.
    flow_entry* find(const flow_key& key);

    // Adds a flow that must not be there yet, as the most recent.
    flow_entry& open(const flow_key& key, time_point now);

    void erase(const flow_key& key);

    // Notes that the flow was active. The order is kept to a second, so that
    // busy flows aren't moved for each packet.
    void touch(flow_entry& entry, time_point now);

    // The flow that was active least recently, or null.
    flow_entry* least_recent();

    // A flow that lingers is kept but takes no room at the upstream.
    void set_lingering(flow_entry& entry, bool lingering);

    // All flows that are kept, and those that do not linger.
    std::size_t size() const { return m_flows.size(); }
    std::size_t open_count() const { return m_flows.size() - m_lingering; }
    std::size_t lingering_count() const { return m_lingering; }

    // Starts the walk over all flows, most recent first, again.
    void rewind();
    // The next flow of the walk; null at its end. Flows that are touched
    // before the walk reaches them are left out.
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

    void step_over(activity_iterator place);

    container m_flows;
    std::size_t m_lingering = 0;
    activity_iterator m_walk = m_flows.get<by_activity>().end();
};

} // namespace crowlink::internal
