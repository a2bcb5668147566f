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

// A flow that nobody on its way knew.
struct searched_flow
{
    // The caller's latest packet.
    packet_header header;
    std::vector<std::uint8_t> payload;
    // The caller has repeated itself.
    bool waits_in_vain = false;
    // The caller has given up by then, unless it sends another copy.
    time_point until{};
    // Members that have not said yet that they don't have it; in order.
    std::vector<upstream_tag> unheard;
};

static_assert(std::is_nothrow_move_constructible_v<searched_flow>,
              "effects refer to payloads, which must stay where they are while "
              "a list of ended searches grows");

// One question and the member that it goes to.
struct addressed_question
{
    candidate to;
    std::vector<flow_key> flows;
};

// How long a search goes on.
struct search_times
{
    // From the start of a round to that of the next one: many times the way to
    // a member and back, and half of the time after which callers repeat
    // themselves.
    duration round = std::chrono::milliseconds(100);
    // Callers send copies 1.6 s apart at most: three were due by then.
    duration lifetime = std::chrono::seconds(5);
    // Whether another copy of the caller's begins that time anew.
    bool is_renewed_by_copies = true;

    friend auto operator<=>(const search_times&, const search_times&) = default;
};

// Flows whose owner is looked for by asking all members of their service, all
// flows at once in rounds. A flow that every member denied has no owner.
//
// Answers to rounds and not a packet that goes from member to member: with 163
// members that took 163 hops of a whole packet for each copy that a caller
// sent, half a second, and was not done beyond 64 members; callers of flows
// that ended with the power waited there for their own deadlines.
class owner_search
{
public:
    // At 1.3 KB and 4 bytes a member each, 1.4 MB with 1,000 members. Beyond
    // that a caller's next copy is searched for.
    static constexpr std::size_t most_flows = 256;
    explicit owner_search(const search_times& times = {}) : m_times(times) {}

    // Begins a search, or renews the packet of one that is on. Whether there
    // was room.
    bool add(time_point now, const packet_header& header, payload_view payload,
             bool waits_in_vain);

    // The questions that are due, up to `room` and those that one member gets
    // together. A round goes to each of `members`; those that became known
    // since a search began are asked too.
    std::vector<addressed_question> ask(time_point now, std::size_t room,
                                        const std::vector<candidate>& members);

    // A member said that it does not have the flow. Whether all have now.
    bool denied(std::uint64_t flow, upstream_tag by);

    // The flow with this hash; null if it isn't searched for.
    const searched_flow* find(std::uint64_t flow) const;
    // Ends the search for it.
    std::optional<searched_flow> take(std::uint64_t flow);
    // Ends the searches for the flows that no member is left to ask about.
    std::vector<searched_flow> take_denied();
    // Ends the searches that have taken their time; some member said nothing.
    std::vector<searched_flow> take_unanswered(time_point now);
    std::vector<searched_flow> take_all();

    bool empty() const { return m_flows.empty(); }
    std::size_t size() const { return m_flows.size(); }

private:
    template <class Ends>
    std::vector<searched_flow> take_if(const Ends& ends);
    void meet(const std::vector<candidate>& members);
    std::vector<flow_key> unheard_of(const candidate& member) const;

    search_times m_times;
    std::unordered_map<std::uint64_t, searched_flow> m_flows;
    // Members that all flows wait for or have heard; in order.
    std::vector<upstream_tag> m_met;
    // Those that the present round still goes to, the next one last.
    std::vector<candidate> m_to_ask;
    time_point m_next_round{};
};

} // namespace crowlink::internal
