#include "crowlink/agent/silent_inquiry.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

// A flow is asked about when its datagram arrives, and again at each tick until
// its caller is about to retransmit.
constexpr search_times inquiry_times{std::chrono::milliseconds(1),
                                     std::chrono::milliseconds(150), false};
// How long a member that did not answer is skipped; the time doubles up to the
// longest.
constexpr duration shortest_mute = std::chrono::seconds(5);
constexpr duration longest_mute = std::chrono::minutes(10);
// The limit of members that are recorded as unresponsive.
constexpr std::size_t most_mute = 1024;

} // namespace

silent_inquiry::silent_inquiry() : m_search(inquiry_times) {}

bool silent_inquiry::add(time_point now, const packet_header& header,
                         payload_view payload,
                         const std::vector<candidate>& silent)
{
    return !likely(now, silent).empty() &&
           m_search.add(now, header, payload, false);
}

std::vector<addressed_question>
silent_inquiry::ask(time_point now, std::size_t room,
                    const std::vector<candidate>& silent)
{
    return m_search.ask(now, room, likely(now, silent));
}

std::vector<candidate>
silent_inquiry::likely(time_point now,
                       const std::vector<candidate>& silent) const
{
    std::vector<candidate> found;
    std::copy_if(silent.begin(), silent.end(), std::back_inserter(found),
                 [this, now](const candidate& each)
                 {
                     const auto known = m_mute.find(each.tag);
                     return known == m_mute.end() || now >= known->second.until;
                 });
    return found;
}

void silent_inquiry::denied(std::uint64_t flow, upstream_tag by)
{
    m_search.denied(flow, by);
}

std::optional<searched_flow> silent_inquiry::take(std::uint64_t flow)
{
    return m_search.take(flow);
}

std::vector<searched_flow> silent_inquiry::take_unowned(time_point now)
{
    std::vector<searched_flow> unowned = m_search.take_denied();
    for (searched_flow& each : m_search.take_unanswered(now))
    {
        for (const upstream_tag member : each.unheard)
        {
            note_mute(now, member);
        }
        unowned.push_back(std::move(each));
    }
    return unowned;
}

void silent_inquiry::note_mute(time_point now, upstream_tag member)
{
    if (m_mute.size() >= most_mute)
    {
        std::erase_if(m_mute, [now](const auto& each)
                      { return now >= each.second.until; });
    }
    mute_member& known =
        m_mute.emplace(member, mute_member{now, shortest_mute}).first->second;
    if (now < known.until)
    {
        return;
    }
    known.until = now + known.next_time;
    known.next_time = std::min(2 * known.next_time, longest_mute);
}

} // namespace crowlink::internal
