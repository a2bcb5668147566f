#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"

#include <utility>

// Flows of members that control does not hear and that may still serve them.

namespace crowlink
{

namespace
{

// How long a silent member must leave this agent's questions unanswered before
// its flows are given up. Its agent may be late on a busy host.
constexpr duration owner_patience = std::chrono::seconds(1);
// The same in a data centre of which several hosts left probes unanswered: they
// are not late all at once.
constexpr duration given_up_patience = std::chrono::milliseconds(250);
// The same for one whose agent was asked to stop: a planned restart cuts no
// flow, however long the process takes to start on a busy host.
constexpr duration return_patience = std::chrono::seconds(10);

} // namespace

void agent::ask_directly(time_point now, const candidate& member,
                         const flow_key& flow)
{
    m_contact.want(now, member, flow);
    continue_contact(now);
}

void agent::continue_contact(time_point now)
{
    send_questions(m_contact.ask(now, m_questions_left));
}

bool agent::is_unanswered(time_point now, const candidate& member) const
{
    duration patience = owner_patience;
    if (m_members.was_leaving(member.tag))
    {
        patience = return_patience;
    }
    else if (m_members.is_given_up(member.tag))
    {
        patience = given_up_patience;
    }
    return m_contact.is_unanswered(now, member.tag, patience);
}

std::vector<candidate> agent::silent_others() const
{
    std::vector<candidate> found = m_members.silent_members();
    std::erase(found, m_self);
    return found;
}

// The silent members that do not answer this agent either.
std::vector<candidate> agent::unheard_members(time_point now) const
{
    std::vector<candidate> found = silent_others();
    std::erase_if(found, [this, now](const candidate& each)
                  { return m_contact.answers(now, each.tag); });
    return found;
}

// A member that does not own a flow of which this agent has a redirect to it:
// the owner is searched for.
void agent::take_denial(time_point now, const candidate& sender,
                        std::uint64_t flow)
{
    const flow_key* const asked = m_contact.asked_flow(sender.tag, flow);
    if (asked == nullptr)
    {
        return;
    }
    const internal::redirect_entry* const known = m_redirects.find(*asked, now);
    if (known != nullptr && !known->is_hint() && known->to == sender)
    {
        m_redirects.erase(*asked);
    }
}

// Whether a walk skips a silent candidate of the packet's chains. Agents with
// other views may not know that it was skipped, so that each agent asks for
// itself.
bool agent::skips_silent(const packet_header& header) const
{
    const std::size_t count = header.current.size() + header.previous.size();
    for (std::size_t at = 0; m_members.has_silent() && at < count; ++at)
    {
        if (m_members.is_silent(internal::candidate_at(header, at)->tag))
        {
            return true;
        }
    }
    return false;
}

// Holds a datagram that may belong to a flow of a silent member, and asks the
// silent members. Returns whether it was held.
bool agent::query_silent_members(time_point now, const packet_header& header,
                                 const packet_arrived& event)
{
    const bool may_be_theirs =
        header.role == packet_role::any && m_members.has_silent();
    if (!may_be_theirs || !m_silent_query.add(now, header, event.payload,
                                              m_members.silent_members()))
    {
        return false;
    }
    decide(flow_action::looked_up, header.flow, header.table, candidate(),
           "owner_may_be_silent");
    continue_silent_query(now);
    return true;
}

void agent::continue_silent_query(time_point now)
{
    if (m_silent_query.empty())
    {
        return;
    }
    send_questions(
        m_silent_query.ask(now, m_questions_left, m_members.silent_members()));
    end_silent_queries(now);
}

// A member whose agent has restarted does not know which flows its upstream
// has; it must not get new ones, so that its answer counts as a denial.
void agent::receive_silent_answer(const candidate& sender,
                                  const stated_ownership& told)
{
    if (told.state != ownership::owned)
    {
        m_silent_query.denied(told.flow, sender.tag);
        return;
    }
    if (auto kept = m_silent_query.take(told.flow))
    {
        send_to_owner(std::move(*kept), sender);
    }
}

// A member that was asked may be heard by control again. It is then no longer
// silent, and a walk visits it.
void agent::restart_silent_queries(time_point now)
{
    for (internal::searched_flow& each : m_silent_query.take_all())
    {
        m_ended_searches.push_back(std::move(each));
        const internal::searched_flow& ended = m_ended_searches.back();
        const packet_header header = ended.header;
        start_walk(now, header, packet_arrived{header, ended.payload});
    }
}

// No answering member owns these flows: they continue from here as they
// arrived, unless an owner has become known in the meantime.
void agent::end_silent_queries(time_point now)
{
    for (internal::searched_flow& each : m_silent_query.take_unowned(now))
    {
        m_ended_searches.push_back(std::move(each));
        const internal::searched_flow& ended = m_ended_searches.back();
        const packet_header header = ended.header;
        resume(now, packet_arrived{header, ended.payload});
    }
}

void agent::resume(time_point now, const packet_arrived& event)
{
    const packet_header& header = event.header;
    const internal::redirect_entry* known = m_redirects.find(header.flow, now);
    const bool has_owner = known != nullptr && !known->is_hint();
    if (m_flows.find(header.flow) != nullptr)
    {
        m_effects.add(internal::deliver_effect{header.flow, event.payload});
        return;
    }
    if (m_openings.find(header.flow) != nullptr)
    {
        return;
    }
    if (has_owner && follow_redirect(now, event, *known))
    {
        return;
    }
    continue_pass(now, event, silent_query::done);
}

void agent::resume_at_head(time_point now, const packet_arrived& event)
{
    const packet_header& header = event.header;
    if (m_members.may_be_owned_elsewhere(now, header.table))
    {
        start_walk(now, header, event, silent_query::done);
        return;
    }
    start_admission(now, header, event, silent_query::done);
}

} // namespace crowlink
