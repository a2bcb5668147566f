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

void keep_only(std::vector<upstream_tag>& tags,
               const std::vector<upstream_tag>& known)
{
    std::erase_if(tags,
                  [&known](upstream_tag each) { return !holds(known, each); });
}

} // namespace

bool owner_search::add(time_point now, const packet_header& header,
                       payload_view payload, bool waits_in_vain)
{
    const std::uint64_t flow = stable_hash(header.flow);
    const bool is_known = m_flows.count(flow) != 0;
    if (!is_known && m_flows.size() >= most_flows)
    {
        return false;
    }
    searched_flow& kept = m_flows[flow];
    if (!is_known)
    {
        kept.unheard = m_met;
    }
    if (!is_known || m_times.is_renewed_by_copies)
    {
        kept.until = now + m_times.lifetime;
    }
    kept.header = header;
    kept.payload.assign(payload.begin(), payload.end());
    kept.waits_in_vain = kept.waits_in_vain || waits_in_vain;
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
    meet(members);
    if (m_to_ask.empty() && now >= m_next_round)
    {
        m_to_ask = members;
        m_next_round = now + m_times.round;
    }
    while (!m_to_ask.empty() && questions.size() < room)
    {
        const candidate to = m_to_ask.back();
        m_to_ask.pop_back();
        std::vector<flow_key> flows = unheard_of(to);
        while (!flows.empty())
        {
            const std::size_t count =
                std::min(flows.size(), owner_question::most_flows);
            const auto first = flows.end() - static_cast<std::ptrdiff_t>(count);
            questions.push_back(addressed_question{to, {first, flows.end()}});
            flows.erase(first, flows.end());
        }
    }
    return questions;
}

// A member that has ended can't have the flow, and a newly known one may.
void owner_search::meet(const std::vector<candidate>& members)
{
    std::vector<upstream_tag> present = tags_of(members);
    if (present == m_met)
    {
        return;
    }
    std::vector<upstream_tag> joined;
    std::set_difference(present.begin(), present.end(), m_met.begin(),
                        m_met.end(), std::back_inserter(joined));
    for (auto& [hash, flow] : m_flows)
    {
        keep_only(flow.unheard, present);
        std::vector<upstream_tag> all;
        std::merge(flow.unheard.begin(), flow.unheard.end(), joined.begin(),
                   joined.end(), std::back_inserter(all));
        flow.unheard = std::move(all);
    }
    m_met = std::move(present);
}

std::vector<flow_key> owner_search::unheard_of(const candidate& member) const
{
    std::vector<flow_key> flows;
    for (const auto& [hash, flow] : m_flows)
    {
        if (holds(flow.unheard, member.tag))
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
    erase(known->second.unheard, by);
    return known->second.unheard.empty();
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
                   { return each.unheard.empty(); });
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
