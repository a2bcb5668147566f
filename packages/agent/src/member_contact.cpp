#include "crowlink/agent/member_contact.hpp"

#include <algorithm>

namespace crowlink::internal
{

namespace
{

// Many times the round trip to a member.
constexpr duration question_interval = std::chrono::milliseconds(100);
// Callers retransmit at most 1.6 s apart, so that one of them keeps the
// questions going.
constexpr duration interest = std::chrono::seconds(2);
// How long an answer counts: several question intervals, so that the loss of
// an answer changes nothing.
constexpr duration answer_lifetime = std::chrono::milliseconds(500);
// Fewer may have been lost on the way.
constexpr std::uint32_t min_unanswered = 3;
constexpr std::size_t max_flows_asked = 16;

} // namespace

void member_contact::want(time_point now, const candidate& member,
                          const flow_key& flow)
{
    asked_member& asked = m_members[member.tag];
    if (now >= asked.wanted_until)
    {
        // Questions of long ago show nothing.
        asked = asked_member{member, {}, now, now, {}, {}, 0};
    }
    asked.wanted_until = now + interest;
    std::erase(asked.flows, flow);
    if (asked.flows.size() == max_flows_asked)
    {
        asked.flows.erase(asked.flows.begin());
    }
    asked.flows.push_back(flow);
}

std::vector<addressed_question> member_contact::ask(time_point now,
                                                    std::size_t room)
{
    std::vector<addressed_question> questions;
    for (auto& [tag, asked] : m_members)
    {
        const bool is_due =
            now < asked.wanted_until && now >= asked.next_question;
        if (!is_due || questions.size() >= room)
        {
            continue;
        }
        asked.next_question = now + question_interval;
        ++asked.unanswered;
        questions.push_back(addressed_question{asked.to, asked.flows});
    }
    return questions;
}

bool member_contact::note_answer(time_point now, upstream_tag from)
{
    const auto found = m_members.find(from);
    if (found == m_members.end())
    {
        return false;
    }
    const bool is_new = now >= found->second.answered_until;
    found->second.since = now;
    found->second.unanswered = 0;
    found->second.answered_until = now + answer_lifetime;
    return is_new;
}

const flow_key* member_contact::asked_flow(upstream_tag member,
                                           std::uint64_t flow) const
{
    const asked_member* const asked = find(member);
    if (asked == nullptr)
    {
        return nullptr;
    }
    const auto found = std::find_if(asked->flows.begin(), asked->flows.end(),
                                    [flow](const flow_key& each)
                                    { return stable_hash(each) == flow; });
    return found == asked->flows.end() ? nullptr : &*found;
}

bool member_contact::answers(time_point now, upstream_tag member) const
{
    const asked_member* const asked = find(member);
    return asked != nullptr && now < asked->answered_until;
}

bool member_contact::is_unanswered(time_point now, upstream_tag member,
                                   duration patience) const
{
    const asked_member* const asked = find(member);
    return asked != nullptr && now < asked->wanted_until &&
           asked->unanswered >= min_unanswered &&
           now - asked->since >= patience;
}

duration member_contact::unanswered_for(time_point now,
                                        upstream_tag member) const
{
    const asked_member* const asked = find(member);
    return asked == nullptr ? duration::zero() : now - asked->since;
}

void member_contact::retain(const std::vector<candidate>& members)
{
    std::erase_if(m_members,
                  [&members](const auto& each)
                  {
                      return std::none_of(members.begin(), members.end(),
                                          [&each](const candidate& kept)
                                          { return kept.tag == each.first; });
                  });
}

const member_contact::asked_member*
member_contact::find(upstream_tag member) const
{
    const auto found = m_members.find(member);
    return found == m_members.end() ? nullptr : &found->second;
}

} // namespace crowlink::internal
