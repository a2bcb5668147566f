#pragma once

#include "crowlink/agent/owner_search.hpp"

#include <map>
#include <vector>

namespace crowlink::internal
{

// Datagrams that wait until silent members have said whether they own the flow.
// A datagram does not tell whether it opens one, so that a flow of a member
// that serves on, but is not heard by control, would be admitted elsewhere. A
// member that does not answer holds up the first flows alone: the next ones do
// not wait for it, for longer each time.
class silent_inquiry
{
public:
    silent_inquiry();

    // Keeps a datagram until the silent members have answered; false if none of
    // them is likely to, or there is no room.
    bool add(time_point now, const packet_header& header, payload_view payload,
             const std::vector<candidate>& silent);

    // The questions that are due, up to `room`.
    std::vector<addressed_question> ask(time_point now, std::size_t room,
                                        const std::vector<candidate>& silent);

    // A member answered, so that it is worth waiting for.
    void heard(upstream_tag from) { m_mute.erase(from); }
    // A member said that it does not have the flow.
    void denied(std::uint64_t flow, upstream_tag by);
    // Ends the wait for a flow that a member said it owns.
    std::optional<searched_flow> take(std::uint64_t flow);
    // Ends the wait for flows that nobody owns who answers.
    std::vector<searched_flow> take_unowned(time_point now);
    // Ends the wait for all.
    std::vector<searched_flow> take_all() { return m_search.take_all(); }

    bool empty() const { return m_search.empty(); }

private:
    struct mute_member
    {
        time_point until{};
        duration next_time{};
    };

    std::vector<candidate> likely(time_point now,
                                  const std::vector<candidate>& silent) const;
    void note_mute(time_point now, upstream_tag member);

    owner_search m_search;
    std::map<upstream_tag, mute_member> m_mute;
};

} // namespace crowlink::internal
