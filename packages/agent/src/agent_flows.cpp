#include "crowlink/agent/agent.hpp"

#include <limits>

namespace crowlink
{

namespace
{

constexpr std::size_t max_flows_per_tick = 4096;
// A flow whose packets don't show that they need an answer counts as waiting
// after this many unanswered packets, over half of the silent time.
constexpr std::uint16_t min_unanswered_packets = 3;
// Waiting flows are checked this many times within the silent time.
constexpr int checks_in_silent_time = 4;

} // namespace

void agent::note_caller_packet(time_point now, internal::flow_entry& entry,
                               answer_need need)
{
    if (need == answer_need::none)
    {
        return;
    }
    m_admission.progress().asked();
    entry.answer_required =
        entry.answer_required || need == answer_need::required;
    entry.waiting_latest = now;
    if (entry.waiting < std::numeric_limits<std::uint16_t>::max())
    {
        ++entry.waiting;
    }
    if (entry.waiting > 1)
    {
        return;
    }
    entry.waiting_since = now;
    const duration silent_after = m_admission.sharing().silent_after;
    if (!entry.watched && silent_after > duration::zero())
    {
        entry.watched = true;
        m_watched.push(now + silent_after / checks_in_silent_time, entry.key);
    }
}

const endpoint* agent::answered(time_point now, const upstream_answered& event)
{
    internal::flow_entry* entry = m_flows.find(event.flow);
    if (entry == nullptr)
    {
        ++m_counts.unknown_answers;
        return nullptr;
    }
    ++m_counts.answered;
    m_admission.progress().progressed(now);
    if (event.flow != m_answered_flow)
    {
        m_answered_other_at = m_answered_at;
        m_answered_flow = event.flow;
    }
    m_answered_at = now;
    entry->waiting = 0;
    entry->answer_required = false;
    if (entry->checked == m_check)
    {
        m_flows.touch(*entry, now);
    }
    if (entry->return_checked != m_members.generation())
    {
        choose_balancer(*entry);
    }
    if (event.finishes && !entry->upstream_finished)
    {
        entry->upstream_finished = true;
        note_finished(now, *entry);
    }
    return &entry->return_to;
}

void agent::choose_balancer(internal::flow_entry& entry)
{
    entry.return_checked = m_members.generation();
    if (m_members.is_living_balancer(entry.return_to))
    {
        return;
    }
    const auto& living = m_members.view()->balancers;
    entry.return_to = living[stable_hash(entry.key) % living.size()];
}

void agent::note_finished(time_point now, internal::flow_entry& entry)
{
    if (!entry.caller_finished || !entry.upstream_finished)
    {
        return;
    }
    m_flows.set_lingering(entry, true);
    m_lingering.push(now + m_settings.linger, entry.key);
    if (m_flows.lingering_count() > m_admission.limits().connections)
    {
        close_oldest_lingering(entry);
    }
}

void agent::close_oldest_lingering(const internal::flow_entry& kept)
{
    const auto oldest = m_lingering.pop(time_point::max());
    const internal::flow_entry* entry =
        oldest ? m_flows.find(*oldest) : nullptr;
    if (entry != nullptr && entry->lingering && entry != &kept)
    {
        end_flow(*oldest, "finished");
    }
}

void agent::reopen(internal::flow_entry& entry)
{
    entry.caller_finished = false;
    entry.upstream_finished = false;
    m_flows.set_lingering(entry, false);
}

void agent::end_flow(const flow_key& flow, std::string_view reason)
{
    const internal::flow_entry* entry = m_flows.find(flow);
    withdraw(*entry);
    const flow_key ended = flow;
    m_flows.erase(ended);
    ++m_counts.closed;
    m_effects.add(internal::close_effect{ended});
    decide(flow_action::closed, ended, m_members.digest(), candidate(), reason);
}

void agent::reset_flow(const flow_key& flow, refusal_reason reason,
                       bool notify_upstream)
{
    internal::flow_entry* entry = m_flows.find(flow);
    choose_balancer(*entry);
    const flow_refusal told{verdict::may_have_run, reason, duration::zero()};
    m_effects.add(internal::reset_caller_effect{entry->return_to, flow,
                                                payload_view(), told});
    if (notify_upstream)
    {
        m_effects.add(internal::reset_upstream_effect{flow, reason});
    }
    decide(flow_action::reset, flow, m_members.digest(), candidate(),
           to_string(reason));
    end_flow(flow, to_string(reason));
}

duration agent::idle_limit(const internal::flow_entry& entry) const
{
    return entry.key.protocol == transport::udp ? m_settings.udp_idle
                                                : m_settings.tcp_idle;
}

void agent::close_idle(time_point now)
{
    std::size_t left = max_flows_per_tick;
    for (internal::flow_entry* entry = m_flows.least_recent();
         entry != nullptr && left > 0 &&
         now - entry->active >= idle_limit(*entry);
         entry = m_flows.least_recent())
    {
        const flow_key flow = entry->key;
        ++m_counts.idle_closed;
        m_effects.add(internal::reset_upstream_effect{
            flow, refusal_reason::unknown_flow});
        end_flow(flow, "idle");
        --left;
    }
}

void agent::close_finished(time_point now)
{
    while (const auto due = m_lingering.pop(now))
    {
        const internal::flow_entry* entry = m_flows.find(*due);
        if (entry != nullptr && entry->lingering)
        {
            end_flow(*due, "finished");
        }
    }
}

void agent::reset_silent_flows(time_point now)
{
    const duration silent_after = m_admission.sharing().silent_after;
    std::size_t left = max_flows_per_tick;
    while (left > 0)
    {
        const auto due = m_watched.pop(now);
        if (!due)
        {
            return;
        }
        --left;
        internal::flow_entry* entry = m_flows.find(*due);
        if (entry == nullptr)
        {
            continue;
        }
        entry->watched = false;
        if (entry->waiting == 0 || silent_after <= duration::zero())
        {
            continue;
        }
        if (is_silent(now, *entry))
        {
            ++m_counts.silent;
            reset_flow(*due, refusal_reason::silent, true);
            continue;
        }
        entry->watched = true;
        m_watched.push(now + silent_after / checks_in_silent_time, *due);
    }
}

bool agent::is_silent(time_point now, const internal::flow_entry& entry) const
{
    const duration silent_after = m_admission.sharing().silent_after;
    if (now - entry.waiting_since < silent_after)
    {
        return false;
    }
    // A single unanswered datagram may be an acknowledgement from the caller of
    // a quiet stream; a caller that repeats datagrams expects an answer.
    const bool repeats =
        entry.waiting >= min_unanswered_packets &&
        entry.waiting_latest - entry.waiting_since >= silent_after / 2;
    const time_point others = others_answered(entry.key);
    const bool others_progress =
        others > entry.waiting_since && now - others <= silent_after / 2;
    return (entry.answer_required || repeats) && others_progress;
}

time_point agent::others_answered(const flow_key& flow) const
{
    return flow == m_answered_flow ? m_answered_other_at : m_answered_at;
}

} // namespace crowlink
