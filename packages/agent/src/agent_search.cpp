#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"

#include <algorithm>
#include <utility>

namespace crowlink
{

// A packet of a flow that no agent on its path knows has two possible reasons:
// an agent outside its chains has the flow, or the flow's upstream has ended
// and the caller would wait for its own timeout. The search distinguishes them
// by asking every member of the service. A member whose agent has restarted may
// not know; it gets the packet and tries its upstream, which returns packets of
// flows that it does not hold. When every member has denied the flow, the
// caller is reset.
void agent::start_search(time_point now, const packet_header& header,
                         const packet_arrived& event)
{
    // If all silent members are also unreachable from this host, the flow
    // counts as unserved without a retransmission.
    const bool is_given_up =
        m_members.has_given_up_silent() && event.need == answer_need::required;
    const bool may_be_unserved =
        is_given_up ||
        (m_members.has_silent() && caller_retransmits(now, event));
    if (!m_search.add(now, header, event.payload, may_be_unserved))
    {
        ++m_counts.searches_omitted;
        return;
    }
    for (const candidate& each : silent_others())
    {
        m_contact.want(now, each, header.flow);
    }
    continue_contact(now);
    decide(flow_action::looked_up, header.flow, header.table, candidate(),
           "searched_for");
    ask_members(now);
}

void agent::ask_members(time_point now)
{
    for (const internal::searched_flow& each : m_search.take_unanswered(now))
    {
        decide(flow_action::dropped, each.header.flow, each.header.table,
               candidate(), "search_unanswered");
    }
    if (m_search.empty())
    {
        return;
    }
    send_questions(m_search.ask(now, m_questions_left, searched_members(now)));
    end_searches(now);
}

// The members whose denials a search needs: those that control hears, and
// silent ones that answer.
std::vector<candidate> agent::searched_members(time_point now) const
{
    std::vector<candidate> found = m_members.others(m_tag);
    for (const candidate& each : silent_others())
    {
        if (m_contact.answers(now, each.tag))
        {
            found.push_back(each);
        }
    }
    return found;
}

void agent::send_questions(std::vector<internal::addressed_question> questions)
{
    m_questions_left -= std::min(m_questions_left, questions.size());
    m_counts.questions += questions.size();
    for (internal::addressed_question& each : questions)
    {
        send(each.to.agent, owner_question{m_record.service, each.to.tag,
                                           m_self, std::move(each.flows)});
    }
}

void agent::receive(time_point now, const endpoint&,
                    const owner_question& message)
{
    owner_answer told{m_record.service, message.sender.tag, m_self, {}};
    for (const flow_key& each : message.flows)
    {
        told.flows.push_back(
            stated_ownership{stable_hash(each), ownership_of(now, each)});
    }
    send(message.sender.agent, std::move(told));
}

// Answers a question to another incarnation of the upstream at this address,
// because no other agent can. The flows of an ended incarnation ended with it.
// The sender may also know the present incarnation by another start than this
// agent, so that what is held here is stated under the present identity. While
// the present incarnation is not known for certain, nothing is denied.
void agent::answer_for_other_incarnation(time_point now,
                                         const owner_question& message)
{
    const candidate other{m_self.agent, message.receiver};
    owner_answer held{m_record.service, message.sender.tag, m_self, {}};
    owner_answer denied{m_record.service, message.sender.tag, other, {}};
    for (const flow_key& each : message.flows)
    {
        const ownership state = ownership_of(now, each);
        owner_answer& told = state == ownership::none ? denied : held;
        told.flows.push_back(stated_ownership{stable_hash(each), state});
    }
    if (!held.flows.empty())
    {
        send(message.sender.agent, std::move(held));
    }
    if (m_is_incarnation_uncertain)
    {
        ++m_counts.wrong_tag;
        return;
    }
    if (!denied.flows.empty())
    {
        send(message.sender.agent, std::move(denied));
    }
}

ownership agent::ownership_of(time_point now, const flow_key& flow)
{
    if (m_flows.find(flow) != nullptr)
    {
        return ownership::owned;
    }
    const bool any_is_possible = now < m_may_hold_until;
    // The tables of an agent that restarted do not name its upstream while its
    // record is still the one that the stopped agent left, so that they exclude
    // nothing.
    const bool is_possible =
        any_is_possible ||
        (now < m_adopt_old_until &&
         (!m_members.is_ready(m_tag) || m_members.lists(now, flow, m_self)));
    return is_possible && !m_returned.holds(flow) ? ownership::possible
                                                  : ownership::none;
}

void agent::receive(time_point now, const endpoint&,
                    const owner_answer& message)
{
    m_silent_query.note_answer(message.sender.tag);
    if (m_contact.note_answer(now, message.sender.tag))
    {
        m_search.set_members(searched_members(now));
    }
    for (const stated_ownership& each : message.flows)
    {
        receive_silent_answer(message.sender, each);
        if (each.state == ownership::none)
        {
            take_denial(now, message.sender, each.flow);
        }
        const internal::searched_flow* searched = m_search.find(each.flow);
        if (searched == nullptr)
        {
            continue;
        }
        switch (each.state)
        {
        case ownership::none:
            m_search.denied(each.flow, message.sender.tag);
            break;
        case ownership::possible:
            // Beyond the limit the copy is sent when the member answers the
            // same in the next round.
            if (m_copies_left > 0)
            {
                --m_copies_left;
                send_copy(*searched, message.sender, "may_have_it");
            }
            break;
        case ownership::owned:
            send_to_owner(*m_search.take(each.flow), message.sender);
            break;
        }
    }
    end_searches(now);
    end_silent_queries(now);
}

// Handles a copy that was sent to this agent alone, as a possible owner.
void agent::search(time_point now, const packet_header& header,
                   const packet_arrived& event)
{
    if (may_adopt(now, header, false))
    {
        accept_flow(now, header, event, flow_action::adopted, "searched_for");
        return;
    }
    if (ownership_of(now, header.flow) == ownership::none)
    {
        deny(header);
    }
}

// Tells the sender of a copy that this agent does not have the flow.
void agent::deny(const packet_header& header)
{
    if (header.previous.empty())
    {
        return;
    }
    const candidate& asker = header.previous[0];
    const stated_ownership state{stable_hash(header.flow), ownership::none};
    send(asker.agent,
         owner_answer{m_record.service, asker.tag, m_self, {state}});
}

// The copy is not forwarded beyond its receiver, which finds the sender in the
// copy's previous chain.
void agent::send_copy(const internal::searched_flow& searched,
                      const candidate& to, std::string_view reason)
{
    packet_header copy = searched.header;
    copy.pass = packet_pass::search;
    copy.hops = 0;
    copy.best = packet_header::no_position;
    copy.previous = candidate_chain();
    copy.previous.push_back(m_self);
    copy.previous.push_back(to);
    copy.position = static_cast<std::uint8_t>(copy.current.size() + 1);
    forward(copy, packet_arrived{searched.header, searched.payload},
            flow_action::looked_up, reason);
}

void agent::send_to_owner(internal::searched_flow searched,
                          const candidate& owner)
{
    m_ended_searches.push_back(std::move(searched));
    const internal::searched_flow& ended = m_ended_searches.back();
    packet_header sent = ended.header;
    // A hop count other than that of a head that knows the owner, so that the
    // owner notifies the head.
    sent.hops = 1;
    internal::address_lookup_to(sent, owner);
    ++m_counts.redirected;
    forward(sent, packet_arrived{ended.header, ended.payload},
            flow_action::redirected, "owner_answered");
}

void agent::end_searches(time_point now)
{
    if (!knows_members(now))
    {
        return;
    }
    for (internal::searched_flow& each : m_search.take_denied())
    {
        m_ended_searches.push_back(std::move(each));
        end_search(now, m_ended_searches.back());
    }
}

// Silent members that do not answer may have the flow and serve it: each gets a
// copy. The caller is reset only if it still retransmits after they have left
// questions unanswered for some time, and if no other service may have the
// flow.
void agent::end_search(time_point now, const internal::searched_flow& searched)
{
    const std::vector<candidate> unheard = unheard_members(now);
    const bool is_unserved = searched.may_be_unserved &&
                             std::all_of(unheard.begin(), unheard.end(),
                                         [this, now](const candidate& each)
                                         { return is_unanswered(now, each); });
    if (!unheard.empty() && !is_unserved)
    {
        for (const candidate& each : unheard)
        {
            send_copy(searched, each, "owner_may_be_silent");
        }
        return;
    }
    const candidate_chain elsewhere = candidates_elsewhere(searched.header);
    if (!elsewhere.empty())
    {
        search_service(searched, elsewhere);
    }
    else if (!unheard.empty())
    {
        reset_silent(now, searched.header, searched.payload, unheard);
    }
    else if (searched.header.omits_services)
    {
        // The caller's next packet names other services.
        ++m_counts.searches_incomplete;
        decide(flow_action::dropped, searched.header.flow,
               searched.header.table, candidate(), "services_omitted");
    }
    else
    {
        reset_unknown(searched.header, searched.payload);
    }
}

// Members that restarted together with this one may not be announced yet.
bool agent::knows_members(time_point now) const
{
    const auto since = m_members.known_since();
    return since && now - *since >= m_settings.members_known_after;
}

// Whether a caller retransmits on a flow whose packets were sent to silent
// upstreams, so that possibly none of them serves the flow.
bool agent::caller_retransmits(time_point now, const packet_arrived& event)
{
    const flow_key& flow = event.header.flow;
    if (event.need == answer_need::required)
    {
        return m_retransmissions.note_data(now, flow, event.sequence);
    }
    if (event.need == answer_need::none)
    {
        m_retransmissions.acknowledged(flow);
    }
    return false;
}

void agent::reset_silent(time_point now, const packet_header& header,
                         payload_view payload,
                         const std::vector<candidate>& owners)
{
    m_retransmissions.forget(header.flow);
    ++m_counts.upstream_silent;
    const candidate& first = owners.front();
    const bool is_given_up =
        std::all_of(owners.begin(), owners.end(),
                    [this](const candidate& each)
                    { return m_members.is_given_up(each.tag); });
    reset_caller(header, payload, refusal_reason::upstream_failed,
                 "upstream_silent",
                 owner_belief{first, m_members.sequence_of(first.tag),
                              now - m_members.silent_since(first.tag, now),
                              m_contact.unanswered_for(now, first.tag),
                              static_cast<std::uint32_t>(owners.size()),
                              is_given_up ? reset_evidence::given_up
                                          : reset_evidence::retransmission});
}

void agent::reset_unknown(const packet_header& header, payload_view payload)
{
    ++m_counts.unknown_flows;
    reset_caller(header, payload, refusal_reason::unknown_flow,
                 to_string(refusal_reason::unknown_flow), owner_belief{});
}

// Resets the caller of a flow that this agent does not own.
void agent::reset_caller(const packet_header& header, payload_view payload,
                         refusal_reason told, std::string_view reason,
                         const owner_belief& belief)
{
    m_effects.add(internal::reset_caller_effect{
        header.return_to, header.flow, payload,
        flow_refusal{verdict::may_have_run, told, duration::zero()}});
    flow_decision decision{
        flow_action::reset, m_record.service, header.flow, header.table,
        candidate(),        load(),           reason};
    decision.belief = belief;
    m_effects.add(decision);
}

} // namespace crowlink
