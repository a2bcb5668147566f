#pragma once

#include "crowlink/agent/agent_events.hpp"
#include "crowlink/agent/owner_question.hpp"
#include "crowlink/base/time.hpp"
#include "crowlink/forwarding/packet_header.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <type_traits>
#include <unordered_map>
#include <vector>

namespace crowlink::internal
{

// A flow that no agent on its packet's path knew.
struct searched_flow
{
    // The caller's latest packet.
    packet_header header;
    std::vector<std::uint8_t> payload;
    // Whether silent members may not serve the flow: the caller has
    // retransmitted, or all silent members are given up.
    bool may_be_unserved = false;
    // When the caller has given up, unless it retransmits again.
    time_point until{};
    // Members that have not denied the flow yet; sorted.
    std::vector<upstream_tag> pending;
};

static_assert(std::is_nothrow_move_constructible_v<searched_flow>,
              "effects refer to payloads, which must stay where they are while "
              "a list of ended searches grows");

// One question and its receiver.
struct addressed_question
{
    candidate to;
    std::vector<flow_key> flows;
};

// The durations of a search.
struct search_times
{
    // The interval between the starts of two rounds: many times the round trip
    // to a member, and half of the time after which callers retransmit.
    duration round = std::chrono::milliseconds(100);
    // Callers retransmit at most 1.6 s apart: three copies were due within this
    // time.
    duration lifetime = std::chrono::seconds(5);
    // Whether a retransmission of the caller restarts the lifetime.
    bool is_renewed_by_copies = true;

    friend auto operator<=>(const search_times&, const search_times&) = default;
};

// Searches for the owners of flows by asking all members of the service in
// rounds, each of which covers all flows. A flow that every member has denied
// has no owner.
//
// It asks in rounds instead of forwarding a packet from member to member: with
// 163 members that took 163 hops of a whole packet for each retransmission of a
// caller, half a second, and it was incomplete beyond 64 members; callers of
// flows that were lost in a power failure then waited for their own timeouts.
class owner_search
{
public:
    // At 1.3 KB for each flow and 4 bytes for each of its members, 1.4 MB with
    // 1,000 members. Beyond this limit the caller's next retransmission may
    // start a search.
    static constexpr std::size_t max_flows = 256;
    explicit owner_search(const search_times& times = {}) : m_times(times) {}

    // Starts a search, or replaces the packet of a running one. Returns whether
    // there was room.
    bool add(time_point now, const packet_header& header, payload_view payload,
             bool may_be_unserved);

    // The questions that are due, up to `room`; the questions for one member
    // stay together and may exceed it. A round covers each of `members`,
    // including those that became known after a search began.
    std::vector<addressed_question> ask(time_point now, std::size_t room,
                                        const std::vector<candidate>& members);

    // Sets the members whose denials are needed, without asking them.
    void set_members(const std::vector<candidate>& members);

    // Records that a member does not have the flow. Returns whether all members
    // have now denied it.
    bool denied(std::uint64_t flow, upstream_tag by);

    // The flow with this hash; null if there is no search for it.
    const searched_flow* find(std::uint64_t flow) const;
    // Ends the search for the flow.
    std::optional<searched_flow> take(std::uint64_t flow);
    // Ends the searches whose flows every member has denied.
    std::vector<searched_flow> take_denied();
    // Ends the searches whose lifetime is over; some member did not answer.
    std::vector<searched_flow> take_unanswered(time_point now);
    std::vector<searched_flow> take_all();

    bool empty() const { return m_flows.empty(); }
    std::size_t size() const { return m_flows.size(); }

private:
    template <class Ends>
    std::vector<searched_flow> take_if(const Ends& ends);
    std::vector<flow_key> flows_pending_at(const candidate& member) const;

    search_times m_times;
    std::unordered_map<std::uint64_t, searched_flow> m_flows;
    // The members that searches take into account; sorted.
    std::vector<upstream_tag> m_members;
    // The members still to be asked in the present round, the next one last.
    std::vector<candidate> m_to_ask;
    time_point m_next_round{};
};

} // namespace crowlink::internal
