#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"

#include <algorithm>
#include <type_traits>

namespace crowlink
{

namespace
{

// The number of peers that get the load at each assessment.
constexpr std::size_t peers_per_assessment = 2;

std::size_t ready_members(const service_view& view)
{
    return static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(),
                      [](const upstream_record& member)
                      { return member.state == upstream_state::ready; }));
}

} // namespace

agent::agent(const agent_settings& settings, time_point now)
    : m_settings(settings)
    , m_record(settings.self)
    , m_tag(tag_of(settings.self.id, settings.self.started))
    , m_self{settings.self.agent, m_tag}
    , m_redirects(settings.redirects_kept)
    , m_members(settings.settle, now)
    , m_admission(settings.stall_after, now, settings.work_per_slot,
                  settings.slots)
    , m_shed_coordinator(settings.shed_lifetime)
    , m_redirects_left(settings.redirects_per_tick)
    , m_questions_left(settings.questions_per_tick)
    , m_copies_left(settings.questions_per_tick)
{
}

bool agent::sheds(time_point now) const
{
    return m_admission.is_shedding(now);
}

void agent::on(time_point now, const packet_returned& event)
{
    ++m_counts.returned;
    const flow_key flow = event.header.flow;
    if (m_flows.find(flow) != nullptr)
    {
        end_flow(flow, "returned");
    }
    packet_header header = event.header;
    if (is_for_former_incarnation(header))
    {
        (void)internal::replace_former_incarnation(header, m_self);
    }
    const packet_arrived again{header, event.payload};
    if (header.role == packet_role::opens)
    {
        (void)place_elsewhere(now, header, again, "returned_by_upstream");
    }
    else if (header.role == packet_role::continues)
    {
        // After a restart of several agents each may have adopted the flow: the
        // others are tried.
        m_returned.add(now, flow);
        search_elsewhere(now, header, again);
    }
    send_batch();
}

// A packet that a walk has placed here visited the other agents on that walk,
// so that it starts a search and not another walk: a walk from each agent that
// may have the flow would take packets of lost flows beyond the hop limit.
void agent::search_elsewhere(time_point now, const packet_header& header,
                             const packet_arrived& event)
{
    switch (header.pass)
    {
    case packet_pass::search:
        deny(header);
        break;
    case packet_pass::place:
    case packet_pass::search_service:
        start_search(now, header, event);
        break;
    default:
        start_walk(now, header, event);
    }
}

void agent::on(time_point, const upstream_closed& event)
{
    if (m_flows.find(event.flow) == nullptr)
    {
        return;
    }
    if (event.failed)
    {
        reset_flow(event.flow, refusal_reason::upstream_failed, false);
    }
    else
    {
        end_flow(event.flow, "upstream_closed");
    }
    send_batch();
}

void agent::on(time_point now, const upstream_failed&)
{
    ++m_counts.upstream_failed;
    while (const internal::flow_entry* entry = m_flows.least_recent())
    {
        const flow_key flow = entry->key;
        reset_flow(flow, refusal_reason::upstream_failed, false);
    }
    send_batch();
    // The agent stays in this state until it restarts.
    m_leaving = true;
    m_admission.set_draining(true);
    advance_openings(now);
    set_state(upstream_state::gone);
}

void agent::on(time_point now, const upstream_survived& event)
{
    m_adopt_until = now + m_settings.settle;
    m_adopt_old_until = now + m_settings.adoption;
    // A walk visits every agent that a recent table lists.
    m_may_hold_until = event.has_just_started ? now : m_adopt_old_until;
    m_admission.progress().assume_warm();
}

void agent::on(time_point now, const upstream_start_reported& event)
{
    m_is_incarnation_uncertain = event.is_incarnation_uncertain;
    m_admission.set_announced_slots(event.slots);
    m_admission.cold().set_cold_until(event.cold_until);
    if (event.is_second_before_unknown)
    {
        m_admission.cold().mark_history_unknown(now);
    }
}

void agent::on(time_point now, const message_arrived& event)
{
    std::visit(
        [&](const auto& message)
        {
            // Redirects of a flow whose address moved come from another
            // service's agent.
            constexpr bool may_be_other =
                std::is_same_v<std::decay_t<decltype(message)>,
                               redirect_notice>;
            if (message.service != m_record.service && !may_be_other)
            {
                ++m_counts.wrong_service;
                return;
            }
            if (message.receiver != m_tag)
            {
                if constexpr (std::is_same_v<std::decay_t<decltype(message)>,
                                             owner_question>)
                {
                    answer_for_other_incarnation(now, message);
                    return;
                }
                ++m_counts.wrong_tag;
                return;
            }
            receive(now, event.from, message);
        },
        event.message);
    send_batch();
}

void agent::on(time_point now, const view_changed& event)
{
    const auto change = m_members.accept(now, event.view);
    if (!change.accepted)
    {
        return;
    }
    const service_view& view = *m_members.view();
    const auto own = std::find_if(view.members.begin(), view.members.end(),
                                  [this](const upstream_record& member)
                                  { return member.id == m_record.id; });
    const bool is_listed = own != view.members.end();
    const bool drained = is_listed && own->state == upstream_state::draining;
    m_admission.declare(view.declared,
                        is_listed ? own->weight : m_record.weight);
    m_admission.set_draining(m_leaving || drained);
    if (change.table || !change.renewed.empty())
    {
        m_renewed.insert(m_renewed.end(), change.renewed.begin(),
                         change.renewed.end());
        ++m_check;
        m_checking = true;
        m_flows.rewind();
    }
    m_contact.retain(silent_others());
    restart_silent_queries(now);
    advance_openings(now);
    send_batch();
}

void agent::on(time_point now, const leave_requested&)
{
    m_leaving = true;
    m_admission.set_draining(true);
    advance_openings(now);
    // The agent of an upstream that has ended may stop later: announced as
    // draining then, the upstream would count as living until its lease ends.
    if (m_record.state != upstream_state::gone)
    {
        set_state(upstream_state::draining);
    }
}

void agent::on(time_point, const work_started& event)
{
    m_admission.started(event.weight);
}

void agent::on(time_point now, const work_ended& event)
{
    m_admission.ended(now, event.weight, event.completed);
    advance_openings(now);
    send_batch();
}

void agent::on(time_point now, const requests_counted& event)
{
    m_admission.note_requests(now, event.running, event.completed);
    advance_openings(now);
    send_batch();
}

void agent::on(time_point now, const tick&)
{
    if (!m_announced)
    {
        m_announced = true;
        m_effects.add(m_record);
    }
    m_redirects_left = m_settings.redirects_per_tick;
    m_questions_left = m_settings.questions_per_tick;
    m_copies_left = m_settings.questions_per_tick;
    m_redirects.expire(now);
    m_retransmissions.expire(now);
    m_returned.expire(now);
    m_counts.redirects_evicted = m_redirects.evicted();
    continue_check(now);
    repeat_due(now);
    renew_due(now);
    reset_silent_flows(now);
    ask_members(now);
    continue_silent_query(now);
    continue_contact(now);
    close_finished(now);
    close_idle(now);
    if (now >= m_next_assessment)
    {
        assess(now);
    }
    advance_openings(now);
    send_batch();
}

void agent::set_state(upstream_state state)
{
    if (m_record.state == state)
    {
        return;
    }
    m_record.state = state;
    ++m_record.sequence;
    m_announced = true;
    m_effects.add(m_record);
}

void agent::assess(time_point now)
{
    m_next_assessment = now + m_settings.assess;
    m_admission.assess(now);
    candidate_chain chain;
    const candidate* coordinator_now = coordinator(chain);
    m_shed_coordinator.set_coordinator(now, coordinator_now != nullptr &&
                                                *coordinator_now == m_self);
    if (m_admission.progress().wants_to_shed())
    {
        request_shedding(now);
    }
    send_loads(now);
}

const candidate* agent::coordinator(candidate_chain& chain) const
{
    // The candidates of the empty key, which no real flow has.
    chain = m_members.chain(flow_key());
    return chain.empty() ? nullptr : chain.begin();
}

void agent::request_shedding(time_point now)
{
    candidate_chain chain;
    const candidate* asked = coordinator(chain);
    if (asked == nullptr)
    {
        return;
    }
    if (*asked != m_self)
    {
        send(asked->agent, shed_request{m_record.service, asked->tag, m_self});
        return;
    }
    if (m_shed_coordinator.grant(now, m_tag, ready_members(*m_members.view())))
    {
        m_admission.permit_shedding(now + m_settings.shed_lifetime);
    }
}

void agent::send_loads(time_point now)
{
    if (m_members.view() == nullptr || m_admission.is_draining())
    {
        return;
    }
    const auto& members = m_members.view()->members;
    const std::uint32_t own = load();
    const duration service_time =
        m_admission.has_terms()
            ? m_admission.service_time(now).value_or(duration::zero())
            : duration::zero();
    std::size_t told = 0;
    for (std::size_t i = 0; i < members.size() && told < peers_per_assessment;
         ++i)
    {
        m_next_peer = (m_next_peer + 1) % members.size();
        const upstream_record& peer = members[m_next_peer];
        if (peer.id == m_record.id || peer.state != upstream_state::ready)
        {
            continue;
        }
        send(peer.agent,
             load_notice{m_record.service, tag_of(peer.id, peer.started), m_tag,
                         own, service_time});
        ++m_counts.loads_sent;
        ++told;
    }
}

void agent::receive(time_point now, const endpoint&, const load_notice& message)
{
    m_admission.peers().note(now, message.sender, message.load,
                             message.service_time);
}

void agent::receive(time_point now, const endpoint&,
                    const shed_request& message)
{
    if (m_members.view() == nullptr)
    {
        return;
    }
    const std::size_t upstreams = ready_members(*m_members.view());
    if (m_shed_coordinator.grant(now, message.sender.tag, upstreams))
    {
        send(message.sender.agent,
             shed_grant{m_record.service, message.sender.tag,
                        m_settings.shed_lifetime});
    }
}

void agent::receive(time_point now, const endpoint&, const shed_grant& message)
{
    m_admission.permit_shedding(now + message.lifetime);
}

void agent::decide(flow_action action, const flow_key& flow,
                   std::uint64_t table, const candidate& chosen,
                   std::string_view reason)
{
    m_effects.add(flow_decision{action, m_record.service, flow, table, chosen,
                                load(), reason});
}

} // namespace crowlink
