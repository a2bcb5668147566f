#include "crowlink/agent/owner_search.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::internal
{

namespace
{

bool holds(const std::vector<upstream_tag>& tags, upstream_tag wanted)
{
    return std::binary_search(tags.begin(), tags.end(), wanted);
}

void erase(std::vector<upstream_tag>& tags, upstream_tag unwanted)
{
    const auto found = std::lower_bound(tags.begin(), tags.end(), unwanted);
    if (found != tags.end() && *found == unwanted)
    {
        tags.erase(found);
    }
}

std::vector<upstream_tag> tags_of(const std::vector<candidate>& members)
{
    std::vector<upstream_tag> tags;
    tags.reserve(members.size());
    for (const candidate& each : members)
    {
        tags.push_back(each.tag);
    }
    std::sort(tags.begin(), tags.end());
    return tags;
}

void retain(std::vector<upstream_tag>& tags,
            const std::vector<upstream_tag>& known)
{
    std::erase_if(tags,
                  [&known](upstream_tag each) { return !holds(known, each); });
}

} // namespace

bool owner_search::add(time_point now, const packet_header& header,
                       payload_view payload, bool may_be_unserved)
{
    const std::uint64_t flow = stable_hash(header.flow);
    const bool is_known = m_flows.count(flow) != 0;
    if (!is_known && m_flows.size() >= max_flows)
    {
        return false;
    }
    searched_flow& kept = m_flows[flow];
    if (!is_known)
    {
        kept.pending = m_members;
    }
    if (!is_known || m_times.is_renewed_by_copies)
    {
        kept.until = now + m_times.lifetime;
    }
    kept.header = header;
    kept.payload.assign(payload.begin(), payload.end());
    kept.may_be_unserved = kept.may_be_unserved || may_be_unserved;
    return true;
}

std::vector<addressed_question>
owner_search::ask(time_point now, std::size_t room,
                  const std::vector<candidate>& members)
{
    std::vector<addressed_question> questions;
    if (m_flows.empty())
    {
        m_to_ask.clear();
        return questions;
    }
    set_members(members);
    if (m_to_ask.empty() && now >= m_next_round)
    {
        m_to_ask = members;
        m_next_round = now + m_times.round;
    }
    while (!m_to_ask.empty() && questions.size() < room)
    {
        const candidate to = m_to_ask.back();
        m_to_ask.pop_back();
        std::vector<flow_key> flows = flows_pending_at(to);
        while (!flows.empty())
        {
            const std::size_t count =
                std::min(flows.size(), owner_question::max_flows);
            const auto first = flows.end() - static_cast<std::ptrdiff_t>(count);
            questions.push_back(addressed_question{to, {first, flows.end()}});
            flows.erase(first, flows.end());
        }
    }
    return questions;
}

// A member that has ended can't have the flow, and a newly known one may.
void owner_search::set_members(const std::vector<candidate>& members)
{
    std::vector<upstream_tag> present = tags_of(members);
    if (present == m_members)
    {
        return;
    }
    std::vector<upstream_tag> joined;
    std::set_difference(present.begin(), present.end(), m_members.begin(),
                        m_members.end(), std::back_inserter(joined));
    for (auto& [hash, flow] : m_flows)
    {
        retain(flow.pending, present);
        std::vector<upstream_tag> all;
        std::merge(flow.pending.begin(), flow.pending.end(), joined.begin(),
                   joined.end(), std::back_inserter(all));
        flow.pending = std::move(all);
    }
    m_members = std::move(present);
}

std::vector<flow_key>
owner_search::flows_pending_at(const candidate& member) const
{
    std::vector<flow_key> flows;
    for (const auto& [hash, flow] : m_flows)
    {
        if (holds(flow.pending, member.tag))
        {
            flows.push_back(flow.header.flow);
        }
    }
    return flows;
}

bool owner_search::denied(std::uint64_t flow, upstream_tag by)
{
    const auto known = m_flows.find(flow);
    if (known == m_flows.end())
    {
        return false;
    }
    erase(known->second.pending, by);
    return known->second.pending.empty();
}

const searched_flow* owner_search::find(std::uint64_t flow) const
{
    const auto known = m_flows.find(flow);
    return known == m_flows.end() ? nullptr : &known->second;
}

std::optional<searched_flow> owner_search::take(std::uint64_t flow)
{
    const auto known = m_flows.find(flow);
    if (known == m_flows.end())
    {
        return std::nullopt;
    }
    searched_flow taken = std::move(known->second);
    m_flows.erase(known);
    return taken;
}

std::vector<searched_flow> owner_search::take_denied()
{
    return take_if([](const searched_flow& each)
                   { return each.pending.empty(); });
}

std::vector<searched_flow> owner_search::take_unanswered(time_point now)
{
    return take_if([now](const searched_flow& each)
                   { return now >= each.until; });
}

std::vector<searched_flow> owner_search::take_all()
{
    return take_if([](const searched_flow&) { return true; });
}

template <class Ends>
std::vector<searched_flow> owner_search::take_if(const Ends& ends)
{
    std::vector<searched_flow> taken;
    for (auto next = m_flows.begin(); next != m_flows.end();)
    {
        const bool is_taken = ends(next->second);
        if (is_taken)
        {
            taken.push_back(std::move(next->second));
        }
        next = is_taken ? m_flows.erase(next) : std::next(next);
    }
    return taken;
}

} // namespace crowlink::internal
