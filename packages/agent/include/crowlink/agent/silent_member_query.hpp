#pragma once

#include "crowlink/agent/owner_search.hpp"

#include <map>
#include <vector>

namespace crowlink::internal
{

// Holds datagrams until silent members have said whether they own the flow. A
// datagram does not show whether it opens a flow, so that a flow of a member
// that still serves it but is not heard by control would be admitted elsewhere.
// A member that does not answer delays only the first flows: later ones do not
// wait for it, for a period that doubles each time.
class silent_member_query
{
public:
    silent_member_query();

    // Holds a datagram until the silent members have answered. Returns false if
    // none of them is likely to, or there is no room.
    bool add(time_point now, const packet_header& header, payload_view payload,
             const std::vector<candidate>& silent);

    // The questions that are due, up to `room`.
    std::vector<addressed_question> ask(time_point now, std::size_t room,
                                        const std::vector<candidate>& silent);

    // Records that a member answers, so that later datagrams wait for it.
    void note_answer(upstream_tag from) { m_unresponsive.erase(from); }
    // Records that a member does not have the flow.
    void denied(std::uint64_t flow, upstream_tag by);
    // Ends the wait for a flow whose owner has answered.
    std::optional<searched_flow> take(std::uint64_t flow);
    // Ends the wait for flows that no answering member owns.
    std::vector<searched_flow> take_unowned(time_point now);
    // Ends the wait for all flows.
    std::vector<searched_flow> take_all() { return m_search.take_all(); }

    bool empty() const { return m_search.empty(); }

private:
    struct unresponsive_member
    {
        time_point until{};
        duration backoff{};
    };

    std::vector<candidate> likely(time_point now,
                                  const std::vector<candidate>& silent) const;
    void note_unresponsive(time_point now, upstream_tag member);

    owner_search m_search;
    std::map<upstream_tag, unresponsive_member> m_unresponsive;
};

} // namespace crowlink::internal
