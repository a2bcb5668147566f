#include "crowlink/agent/member_tables.hpp"

#include "crowlink/agent/chain_walk.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

// The limits of stored tables of the settling time, and of stored tags of
// members that have left.
constexpr std::size_t max_replaced_tables = 8;
constexpr std::size_t max_ended = 128;

upstream_tag tag_of(const upstream_record& member)
{
    return crowlink::tag_of(member.id, member.started);
}

const upstream_record* find_member(const service_view& view,
                                   const upstream_id& id)
{
    const auto found = std::lower_bound(
        view.members.begin(), view.members.end(), id,
        [](const upstream_record& member, const upstream_id& wanted)
        { return member.id < wanted; });
    const bool known = found != view.members.end() && found->id == id;
    return known ? &*found : nullptr;
}

} // namespace

member_tables::member_tables(duration settle, time_point started)
    : m_settle(settle), m_unsettled_until(started + settle)
{
}

member_tables::change
member_tables::accept(time_point now, std::shared_ptr<const service_view> view)
{
    change found;
    if (m_view && view->version < m_view->version)
    {
        return found;
    }
    found.accepted = true;
    m_known_since = m_known_since.value_or(now);
    ++m_generation;
    note_members(*view, found);
    note_silent(now, *view);
    auto table = forwarding_table::build(*view);
    found.table = !m_table || table->digest() != m_table->digest();
    if (found.table)
    {
        replace_table(now, std::move(table));
    }
    m_view = std::move(view);
    return found;
}

void member_tables::note_members(const service_view& next, change& found)
{
    if (!m_view)
    {
        return;
    }
    for (const upstream_record& before : m_view->members)
    {
        const upstream_record* after = find_member(next, before.id);
        if (after == nullptr || after->started != before.started)
        {
            note_ended(tag_of(before));
        }
    }
    for (const upstream_record& after : next.members)
    {
        const upstream_record* before = find_member(*m_view, after.id);
        if (before == nullptr || newer(after, *before))
        {
            const upstream_tag tag = tag_of(after);
            found.renewed.push_back(tag);
            m_ended.erase(std::remove(m_ended.begin(), m_ended.end(), tag),
                          m_ended.end());
        }
    }
}

void member_tables::note_silent(time_point now, const service_view& next)
{
    std::vector<silent_member> silent;
    for (const upstream_record& member : next.members)
    {
        if (is_silent_state(member.state))
        {
            const upstream_tag tag = tag_of(member);
            silent.push_back(
                silent_member{tag, silent_since(tag, now),
                              member.state == upstream_state::unreachable,
                              was_leaving(tag) || is_draining(tag)});
        }
    }
    m_silent = std::move(silent);
}

// Whether the last view shows the member as draining.
bool member_tables::is_draining(upstream_tag tag) const
{
    return m_view &&
           std::any_of(m_view->members.begin(), m_view->members.end(),
                       [tag](const upstream_record& member) {
                           return member.state == upstream_state::draining &&
                                  tag_of(member) == tag;
                       });
}

const member_tables::silent_member*
member_tables::find_silent(upstream_tag tag) const
{
    const auto found = std::find_if(m_silent.begin(), m_silent.end(),
                                    [tag](const silent_member& each)
                                    { return each.tag == tag; });
    return found == m_silent.end() ? nullptr : &*found;
}

void member_tables::note_ended(upstream_tag tag)
{
    if (m_ended.size() == max_ended)
    {
        m_ended.erase(m_ended.begin());
    }
    m_ended.push_back(tag);
}

void member_tables::replace_table(time_point now,
                                  std::shared_ptr<const forwarding_table> next)
{
    if (m_table)
    {
        m_replaced.push_back(replaced_table{m_table, now + m_settle});
    }
    if (m_replaced.size() > max_replaced_tables)
    {
        m_replaced.pop_front();
    }
    m_table = std::move(next);
    m_unsettled_until = std::max(m_unsettled_until, now + m_settle);
}

candidate_chain member_tables::chain(const flow_key& flow) const
{
    return m_table ? m_table->chain(stable_hash(flow)) : candidate_chain();
}

bool member_tables::may_be_owned_elsewhere(time_point now,
                                           std::uint64_t table) const
{
    return now < m_unsettled_until || table != digest();
}

void member_tables::add_known_candidates(packet_header& header,
                                         time_point now) const
{
    const std::uint64_t hash = stable_hash(header.flow);
    const bool has_started = header.pass == packet_pass::walk;
    const std::uint64_t here =
        has_started ? walk_order(hash, *candidate_at(header, header.position))
                    : 0;
    const auto add_chain = [&](const forwarding_table& table)
    {
        for (const candidate& next : table.chain(hash))
        {
            // Only candidates that are still ahead may replace one that was
            // visited, otherwise the walk might never end.
            const bool is_ahead = walk_order(hash, next) > here;
            is_ahead ? add_on_walk(header, next) : add_if_absent(header, next);
        }
    };
    if (m_table)
    {
        add_chain(*m_table);
    }
    for (const replaced_table& past : m_replaced)
    {
        if (now < past.until)
        {
            add_chain(*past.table);
        }
    }
}

bool member_tables::lists(time_point now, const flow_key& flow,
                          const candidate& member) const
{
    const std::uint64_t hash = stable_hash(flow);
    const auto has_it = [&](const forwarding_table& table)
    {
        const candidate_chain chain = table.chain(hash);
        return std::find(chain.begin(), chain.end(), member) != chain.end();
    };
    return !m_table || has_it(*m_table) ||
           std::any_of(m_replaced.begin(), m_replaced.end(),
                       [&](const replaced_table& past)
                       { return now < past.until && has_it(*past.table); });
}

bool member_tables::is_ready(upstream_tag tag) const
{
    return m_view &&
           std::any_of(m_view->members.begin(), m_view->members.end(),
                       [tag](const upstream_record& member) {
                           return member.state == upstream_state::ready &&
                                  tag_of(member) == tag;
                       });
}

std::vector<candidate> member_tables::others(upstream_tag excluded) const
{
    std::vector<candidate> found;
    if (!m_view)
    {
        return found;
    }
    found.reserve(m_view->members.size());
    for (const upstream_record& member : m_view->members)
    {
        const candidate each{member.agent, tag_of(member)};
        if (each.tag != excluded && !is_unavailable(each.tag))
        {
            found.push_back(each);
        }
    }
    return found;
}

std::vector<candidate> member_tables::silent_members() const
{
    std::vector<candidate> found;
    if (!m_view)
    {
        return found;
    }
    for (const upstream_record& member : m_view->members)
    {
        if (is_silent_state(member.state))
        {
            found.push_back(candidate{member.agent, tag_of(member)});
        }
    }
    return found;
}

bool member_tables::is_member(upstream_tag tag) const
{
    return m_view && std::any_of(m_view->members.begin(), m_view->members.end(),
                                 [tag](const upstream_record& member)
                                 { return tag_of(member) == tag; });
}

bool member_tables::is_agent_of_member(const endpoint& agent) const
{
    return m_view && std::any_of(m_view->members.begin(), m_view->members.end(),
                                 [&agent](const upstream_record& member)
                                 { return member.agent == agent; });
}

bool member_tables::has_ended(upstream_tag tag) const
{
    return std::find(m_ended.begin(), m_ended.end(), tag) != m_ended.end();
}

bool member_tables::is_silent(upstream_tag tag) const
{
    return find_silent(tag) != nullptr;
}

bool member_tables::has_given_up_silent() const
{
    return !m_silent.empty() && std::all_of(m_silent.begin(), m_silent.end(),
                                            [](const silent_member& each)
                                            { return each.is_given_up; });
}

bool member_tables::is_given_up(upstream_tag tag) const
{
    const silent_member* const found = find_silent(tag);
    return found != nullptr && found->is_given_up;
}

bool member_tables::was_leaving(upstream_tag tag) const
{
    const silent_member* const found = find_silent(tag);
    return found != nullptr && found->was_leaving;
}

time_point member_tables::silent_since(upstream_tag tag, time_point now) const
{
    const silent_member* const found = find_silent(tag);
    return found == nullptr ? now : found->since;
}

std::uint64_t member_tables::sequence_of(upstream_tag tag) const
{
    if (!m_view)
    {
        return 0;
    }
    const auto found = std::find_if(
        m_view->members.begin(), m_view->members.end(),
        [tag](const upstream_record& member) { return tag_of(member) == tag; });
    return found == m_view->members.end() ? 0 : found->sequence;
}

bool member_tables::is_unavailable(upstream_tag tag) const
{
    return has_ended(tag) || is_silent(tag);
}

bool member_tables::is_living_balancer(const endpoint& balancer) const
{
    if (!m_view || m_view->balancers.empty())
    {
        return true;
    }
    return std::binary_search(m_view->balancers.begin(),
                              m_view->balancers.end(), balancer);
}

} // namespace crowlink::internal
