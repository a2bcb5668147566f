#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/forwarding_table.hpp"
#include "crowlink/forwarding/packet_header.hpp"
#include "crowlink/model/service_view.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace crowlink::internal
{

// What an agent knows of the service's members: the view, its table, and the
// tables that it replaced within the settling time.
class member_tables
{
public:
    // What a new view changed.
    struct change
    {
        bool accepted = false;
        bool table = false;
        // Members whose agent announced itself anew: they may have restarted.
        std::vector<upstream_tag> renewed;
    };

    member_tables(duration settle, time_point started);

    // Takes a view unless it is older than the held one.
    change accept(time_point now, std::shared_ptr<const service_view> view);

    // Null before the first view.
    const service_view* view() const { return m_view.get(); }
    std::uint64_t digest() const { return m_table ? m_table->digest() : 0; }
    // Rises with each accepted view.
    std::uint32_t generation() const { return m_generation; }

    candidate_chain chain(const flow_key& flow) const;

    // Whether a packet by this table may belong to a flow whose owner this
    // agent hasn't been told.
    bool may_be_owned_elsewhere(time_point now, std::uint64_t table) const;

    // Adds to the header's previous chain what this agent's own tables, the
    // present one and those of the settling time, know beyond it.
    void widen(packet_header& header, time_point now) const;

    // Whether the present table, or one of the settling time, has the member in
    // the flow's chain; true before the first table.
    bool names(time_point now, const flow_key& flow,
               const candidate& member) const;

    // All members but the given one, and but those that have ended or are
    // silent.
    std::vector<candidate> others(upstream_tag than) const;
    // The members that control does not hear.
    std::vector<candidate> silent_members() const;
    bool is_member(upstream_tag tag) const;
    // When the first view came.
    std::optional<time_point> known_since() const { return m_known_since; }

    // Whether a member with this tag was known and has ended.
    bool has_ended(upstream_tag tag) const;
    // Whether its lease has run out without a word of its own.
    bool is_silent(upstream_tag tag) const;
    // Whether any member is.
    bool has_silent() const { return !m_silent.empty(); }
    // Whether it is silent, and out of this host's reach for so long that its
    // flows are given up.
    bool is_given_up(upstream_tag tag) const;
    // Whether that holds for all that are silent, and there are some.
    bool has_given_up_silent() const;
    // Whether it has, or is silent: nothing new is sent there.
    bool is_gone(upstream_tag tag) const;
    // Whether a balancer is among the living; true as long as none is known.
    bool is_living_balancer(const endpoint& balancer) const;

private:
    struct replaced_table
    {
        std::shared_ptr<const forwarding_table> table;
        time_point until;
    };

    void note_members(const service_view& next, change& found);
    void note_silent(const service_view& next);
    void note_gone(upstream_tag tag);
    void replace_table(time_point now,
                       std::shared_ptr<const forwarding_table> next);

    duration m_settle;
    time_point m_unsettled_until;
    std::optional<time_point> m_known_since;
    std::shared_ptr<const service_view> m_view;
    std::shared_ptr<const forwarding_table> m_table;
    // Oldest first.
    std::deque<replaced_table> m_replaced;
    std::vector<upstream_tag> m_gone;
    // Of the present view.
    std::vector<upstream_tag> m_silent;
    // Those of them whose flows are given up.
    std::vector<upstream_tag> m_given_up;
    std::uint32_t m_generation = 0;
};

} // namespace crowlink::internal
