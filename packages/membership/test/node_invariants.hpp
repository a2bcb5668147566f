#pragma once

#include "crowlink/membership.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace crowlink::test
{

// The invariants of a node, checked at every step of one run of it.
class node_invariants
{
public:
    // Versions of records, declarations and the document never decrease, a gone
    // record does not return, and no upstream counts as ended unless it
    // announced its end or its agent has another upstream.
    void check(const host_id& name, const subscriber& node,
               const std::set<upstream_id>& ended)
    {
        ASSERT_GE(node.applied_version(), m_applied);
        m_applied = node.applied_version();
        for (const auto& held : node.state().services())
        {
            const config_version next(held.second.version);
            ASSERT_GE(next, m_versions[held.first]) << name.value();
            m_versions[held.first] = next;
        }
        for (const auto& held : node.state().records())
        {
            check(name, held.first, held.second, ended);
        }
    }

private:
    void check(const host_id& name, const internal::record_key& key,
               const internal::subscribed_record& held,
               const std::set<upstream_id>& ended)
    {
        const upstream_record& next = held.record;
        upstream_record& last = m_seen[key];
        const bool is_gone = next.state == upstream_state::gone;
        ASSERT_FALSE(newer(last, next)) << key.id.value();
        const bool same =
            next.started == last.started && next.sequence == last.sequence;
        const bool returned = last.started.value() != 0 && same &&
                              last.state == upstream_state::gone && !is_gone;
        ASSERT_FALSE(returned && !m_removed_as_absent[key]) << key.id.value();
        const bool is_considered_ended = is_gone && !held.last_living_record;
        ASSERT_FALSE(is_considered_ended && ended.count(key.id) == 0)
            << name.value() << " " << key.id.value();
        m_removed_as_absent[key] = held.removed_as_absent;
        last = next;
    }

    std::map<internal::record_key, upstream_record> m_seen;
    std::map<internal::record_key, bool> m_removed_as_absent;
    std::map<service_id, config_version> m_versions;
    config_version m_applied;
};

} // namespace crowlink::test
