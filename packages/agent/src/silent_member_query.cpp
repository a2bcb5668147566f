#include "crowlink/agent/silent_member_query.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

// A flow is asked about when its datagram arrives, and again at each tick until
// its caller is about to retransmit.
constexpr search_times query_times{std::chrono::milliseconds(1),
                                   std::chrono::milliseconds(150), false};
// How long a member that did not answer is skipped; the time doubles up to the
// longest.
constexpr duration shortest_backoff = std::chrono::seconds(5);
constexpr duration longest_backoff = std::chrono::minutes(10);
// The limit of members that are recorded as unresponsive.
constexpr std::size_t max_unresponsive = 1024;

} // namespace

silent_member_query::silent_member_query() : m_search(query_times) {}

bool silent_member_query::add(time_point now, const packet_header& header,
                              payload_view payload,
                              const std::vector<candidate>& silent)
{
    return !likely(now, silent).empty() &&
           m_search.add(now, header, payload, false);
}

std::vector<addressed_question>
silent_member_query::ask(time_point now, std::size_t room,
                         const std::vector<candidate>& silent)
{
    return m_search.ask(now, room, likely(now, silent));
}

std::vector<candidate>
silent_member_query::likely(time_point now,
                            const std::vector<candidate>& silent) const
{
    std::vector<candidate> found;
    std::copy_if(silent.begin(), silent.end(), std::back_inserter(found),
                 [this, now](const candidate& each)
                 {
                     const auto known = m_unresponsive.find(each.tag);
                     return known == m_unresponsive.end() ||
                            now >= known->second.until;
                 });
    return found;
}

void silent_member_query::denied(std::uint64_t flow, upstream_tag by)
{
    m_search.denied(flow, by);
}

std::optional<searched_flow> silent_member_query::take(std::uint64_t flow)
{
    return m_search.take(flow);
}

std::vector<searched_flow> silent_member_query::take_unowned(time_point now)
{
    std::vector<searched_flow> unowned = m_search.take_denied();
    for (searched_flow& each : m_search.take_unanswered(now))
    {
        for (const upstream_tag member : each.pending)
        {
            note_unresponsive(now, member);
        }
        unowned.push_back(std::move(each));
    }
    return unowned;
}

void silent_member_query::note_unresponsive(time_point now, upstream_tag member)
{
    if (m_unresponsive.size() >= max_unresponsive)
    {
        std::erase_if(m_unresponsive, [now](const auto& each)
                      { return now >= each.second.until; });
    }
    unresponsive_member& known =
        m_unresponsive
            .emplace(member, unresponsive_member{now, shortest_backoff})
            .first->second;
    if (now < known.until)
    {
        return;
    }
    known.until = now + known.backoff;
    known.backoff = std::min(2 * known.backoff, longest_backoff);
}

} // namespace crowlink::internal
