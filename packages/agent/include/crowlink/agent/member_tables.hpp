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

// An agent's knowledge of the service's members: the view, its table, and the
// tables that were replaced within the settling time.
class member_tables
{
public:
    // The differences that a new view brings.
    struct change
    {
        bool accepted = false;
        bool table = false;
        // Members whose agent announced itself again: they may have restarted.
        std::vector<upstream_tag> renewed;
    };

    member_tables(duration settle, time_point started);

    // Accepts a view unless it is older than the current one.
    change accept(time_point now, std::shared_ptr<const service_view> view);

    // Null before the first view.
    const service_view* view() const { return m_view.get(); }
    std::uint64_t digest() const { return m_table ? m_table->digest() : 0; }
    // Increases with each accepted view.
    std::uint32_t generation() const { return m_generation; }

    candidate_chain chain(const flow_key& flow) const;

    // Whether a packet with this table's digest may belong to a flow whose
    // owner has not notified this agent yet.
    bool may_be_owned_elsewhere(time_point now, std::uint64_t table) const;

    // Adds to the header's previous chain the candidates of this agent's
    // tables, the present one and those of the settling time, that it lacks.
    void add_known_candidates(packet_header& header, time_point now) const;

    // Whether the present table, or one of the settling time, lists the member
    // in the flow's chain; true before the first table.
    bool lists(time_point now, const flow_key& flow,
               const candidate& member) const;

    // Whether the view lists this incarnation as ready, so that tables name it.
    bool is_ready(upstream_tag tag) const;

    // All members except the given one and those that have ended or are silent.
    std::vector<candidate> others(upstream_tag excluded) const;
    // The members that control no longer hears.
    std::vector<candidate> silent_members() const;
    bool is_member(upstream_tag tag) const;
    // Whether a member of any incarnation has its agent there.
    bool is_agent_of_member(const endpoint& agent) const;
    // When the first view arrived.
    std::optional<time_point> known_since() const { return m_known_since; }

    // Whether a member with this tag was known and has ended.
    bool has_ended(upstream_tag tag) const;
    // Whether the member's lease has expired without notice of its end.
    bool is_silent(upstream_tag tag) const;
    // Whether any member is silent.
    bool has_silent() const { return !m_silent.empty(); }
    // Whether the member is silent, and has been unreachable from this host for
    // so long that its flows are given up.
    bool is_given_up(upstream_tag tag) const;
    // Whether there are silent members, and all of them are given up.
    bool has_given_up_silent() const;
    // Whether the silent member had announced that it leaves: its agent was
    // asked to stop, and may return beside the same upstream.
    bool was_leaving(upstream_tag tag) const;
    // Since when views have shown the member as silent; `now` if it is not.
    time_point silent_since(upstream_tag tag, time_point now) const;
    // The sequence of the member's record; 0 if it is unknown.
    std::uint64_t sequence_of(upstream_tag tag) const;
    // Whether the member has ended or is silent: nothing new is sent to it.
    bool is_unavailable(upstream_tag tag) const;
    // Whether a balancer is listed in the view; true while no balancer is
    // known.
    bool is_living_balancer(const endpoint& balancer) const;

private:
    struct silent_member
    {
        upstream_tag tag = 0;
        time_point since{};
        bool is_given_up = false;
        bool was_leaving = false;
    };
    struct replaced_table
    {
        std::shared_ptr<const forwarding_table> table;
        time_point until;
    };

    void note_members(const service_view& next, change& found);
    void note_silent(time_point now, const service_view& next);
    const silent_member* find_silent(upstream_tag tag) const;
    bool is_draining(upstream_tag tag) const;
    void note_ended(upstream_tag tag);
    void replace_table(time_point now,
                       std::shared_ptr<const forwarding_table> next);

    duration m_settle;
    time_point m_unsettled_until;
    std::optional<time_point> m_known_since;
    std::shared_ptr<const service_view> m_view;
    std::shared_ptr<const forwarding_table> m_table;
    // Oldest first.
    std::deque<replaced_table> m_replaced;
    std::vector<upstream_tag> m_ended;
    // The silent members of the present view.
    std::vector<silent_member> m_silent;
    std::uint32_t m_generation = 0;
};

} // namespace crowlink::internal
