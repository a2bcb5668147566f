#pragma once

#include "crowlink/agent/owner_search.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace crowlink::internal
{

// Whether members that control does not hear answer this agent itself. What
// control or probes say of a member does not show that it stopped serving its
// flows; only questions of this agent that it leaves unanswered do. They are
// sent while packets of such flows arrive.
//
//   contact.want(now, owner, flow);
//   send(contact.ask(now, room));
//   contact.note_answer(now, owner.tag);
//   contact.is_unanswered(now, owner.tag, patience);
class member_contact
{
public:
    // Asks the member about the flow now and for some time.
    void want(time_point now, const candidate& member, const flow_key& flow);
    // The questions that are due, up to `room`.
    std::vector<addressed_question> ask(time_point now, std::size_t room);
    // Returns whether a member that did not answer does so now.
    bool note_answer(time_point now, upstream_tag from);
    // Whether the member was asked about a flow with this hash, and about
    // which.
    const flow_key* asked_flow(upstream_tag member, std::uint64_t flow) const;

    // Whether the member has answered lately.
    bool answers(time_point now, upstream_tag member) const;
    // Whether the member is being asked and has left several questions
    // unanswered, the first of them for at least `patience`.
    bool is_unanswered(time_point now, upstream_tag member,
                       duration patience) const;
    // How long the member has left questions unanswered.
    duration unanswered_for(time_point now, upstream_tag member) const;
    // Forgets all members but these.
    void retain(const std::vector<candidate>& members);

private:
    struct asked_member
    {
        candidate to;
        // The flows of the next question, the latest last.
        std::vector<flow_key> flows;
        // The time of the first question since the latest answer.
        time_point since{};
        time_point next_question{};
        time_point wanted_until{};
        time_point answered_until{};
        std::uint32_t unanswered = 0;
    };

    const asked_member* find(upstream_tag member) const;

    std::map<upstream_tag, asked_member> m_members;
};

} // namespace crowlink::internal
