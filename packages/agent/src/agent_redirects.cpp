#include "crowlink/agent/agent.hpp"
#include "crowlink/agent/chain_walk.hpp"

#include <algorithm>

namespace crowlink
{

namespace
{

// The number of renewals within a redirect's lifetime.
constexpr int renewals_in_lifetime = 3;
// A new redirect is sent a second time when the settling time divided by this
// number has passed, since a notice may be lost.
constexpr int repeat_in_settling = 3;
// The minimum interval between notices to a head whose packets were looked up.
constexpr duration head_notify_interval = std::chrono::milliseconds(100);

std::uint32_t identity_of(const candidate_chain& agents)
{
    std::uint64_t hash = agents.size();
    for (const candidate& next : agents)
    {
        hash = combine_hash(hash, next.tag);
    }
    return agents.empty() ? 0 : static_cast<std::uint32_t>(hash) | 1U;
}

// Stays below the value that stands for a decision.
duration age_of(const internal::flow_entry& entry, time_point now)
{
    constexpr duration highest =
        owned_flow::decided - std::chrono::milliseconds(1);
    return std::min<duration>(now - entry.opened, highest);
}

bool holds(const candidate_chain& agents, const candidate& wanted)
{
    return std::find(agents.begin(), agents.end(), wanted) != agents.end();
}

} // namespace

candidate_chain agent::agents_to_notify(const flow_key& flow) const
{
    candidate_chain told;
    for (const candidate& next : m_members.chain(flow))
    {
        if (next.tag == m_tag || told.size() == m_settings.redirect_copies)
        {
            break;
        }
        told.push_back(next);
    }
    return told;
}

void agent::check_redirects(time_point now, internal::flow_entry& entry,
                            bool renew)
{
    entry.checked = m_check;
    const candidate_chain agents = agents_to_notify(entry.key);
    const std::uint32_t identity = identity_of(agents);
    const bool is_new = identity != entry.notified;
    entry.notified = identity;
    if (agents.empty())
    {
        return;
    }
    bool any = false;
    for (const candidate& next : agents)
    {
        const bool restarted = std::find(m_renewed.begin(), m_renewed.end(),
                                         next.tag) != m_renewed.end();
        if (is_new || renew || restarted)
        {
            publish(entry, next, age_of(entry, now));
            any = true;
        }
    }
    if (any)
    {
        schedule_renewal(now, entry, !renew);
    }
}

void agent::schedule_renewal(time_point now, internal::flow_entry& entry,
                             bool repeat)
{
    entry.renew_at = now + m_settings.redirect_lifetime / renewals_in_lifetime;
    if (!entry.renewing)
    {
        entry.renewing = true;
        m_renewals.push(entry.renew_at, entry.key);
    }
    if (repeat && !entry.repeating)
    {
        entry.repeating = true;
        m_repeats.push(now + m_settings.settle / repeat_in_settling, entry.key);
    }
}

void agent::publish(const internal::flow_entry& entry, const candidate& to,
                    duration age)
{
    const redirect_notice empty{
        m_record.service, to.tag, m_self, m_settings.redirect_lifetime, {}};
    m_batch.add(empty, to.agent, owned_flow{entry.key, age});
    ++m_counts.redirects_published;
    m_redirects_left -= std::min(m_redirects_left, 1U);
}

void agent::publish_opened(time_point now, internal::flow_entry& entry,
                           const packet_header& header)
{
    check_redirects(now, entry, false);
    const candidate_chain told = agents_to_notify(entry.key);
    const auto publish_to_head = [&](const candidate_chain& chain)
    {
        const bool is_other = !chain.empty() && chain[0] != m_self;
        if (is_other && !holds(told, chain[0]))
        {
            publish(entry, chain[0], age_of(entry, now));
        }
    };
    // The heads in other tables that balancers may still use.
    publish_to_head(header.current);
    if (header.previous.empty() || header.current.empty() ||
        header.previous[0] != header.current[0])
    {
        publish_to_head(header.previous);
    }
}

void agent::notify_head(time_point now, internal::flow_entry& entry,
                        const packet_header& header)
{
    const bool head_knows =
        header.pass == packet_pass::lookup && header.hops == 1;
    const bool too_soon = now - entry.head_notified_at < head_notify_interval;
    if (header.current.empty() || header.current[0] == m_self || head_knows ||
        too_soon || m_redirects_left == 0)
    {
        return;
    }
    entry.head_notified_at = now;
    publish(entry, header.current[0], age_of(entry, now));
    send_batch();
}

void agent::withdraw(const internal::flow_entry& entry)
{
    if (entry.notified == 0)
    {
        return;
    }
    for (const candidate& next : agents_to_notify(entry.key))
    {
        const redirect_notice empty{
            m_record.service, next.tag, m_self, duration::zero(), {}};
        m_batch.add(empty, next.agent, owned_flow{entry.key, duration::zero()});
        ++m_counts.redirects_withdrawn;
    }
}

void agent::continue_check(time_point now)
{
    std::uint32_t left = m_settings.checks_per_tick;
    while (m_checking && m_redirects_left > 0 && left > 0)
    {
        internal::flow_entry* entry = m_flows.next();
        if (entry == nullptr)
        {
            m_checking = false;
            m_renewed.clear();
            return;
        }
        if (entry->checked != m_check)
        {
            check_redirects(now, *entry, false);
        }
        --left;
    }
}

void agent::renew_due(time_point now)
{
    while (m_redirects_left > 0)
    {
        const auto due = m_renewals.pop(now);
        if (!due)
        {
            return;
        }
        internal::flow_entry* entry = m_flows.find(*due);
        if (entry == nullptr)
        {
            continue;
        }
        entry->renewing = false;
        if (entry->notified == 0)
        {
            continue;
        }
        if (entry->renew_at > now)
        {
            entry->renewing = true;
            m_renewals.push(entry->renew_at, *due);
            continue;
        }
        check_redirects(now, *entry, true);
    }
}

void agent::repeat_due(time_point now)
{
    while (m_redirects_left > 0)
    {
        const auto due = m_repeats.pop(now);
        if (!due)
        {
            return;
        }
        internal::flow_entry* entry = m_flows.find(*due);
        if (entry == nullptr)
        {
            continue;
        }
        entry->repeating = false;
        check_redirects(now, *entry, true);
    }
}

void agent::receive(time_point now, const endpoint&,
                    const redirect_notice& message)
{
    if (message.owner == m_self)
    {
        return;
    }
    for (const owned_flow& owned : message.flows)
    {
        if (message.lifetime <= duration::zero())
        {
            m_redirects.withdraw(owned.flow, message.owner);
            continue;
        }
        receive_redirect(now, message, owned);
    }
}

void agent::receive_redirect(time_point now, const redirect_notice& message,
                             const owned_flow& owned)
{
    internal::flow_entry* entry = m_flows.find(owned.flow);
    if (entry != nullptr && keeps_ownership(now, *entry, message.owner, owned))
    {
        return;
    }
    if (entry != nullptr)
    {
        decide(flow_action::yielded, owned.flow, m_members.digest(),
               message.owner, "longer_owner");
        m_effects.add(internal::reset_upstream_effect{
            owned.flow, refusal_reason::duplicate});
        end_flow(owned.flow, "yielded");
    }
    drop_held(owned.flow, "owned_elsewhere");
    const internal::redirect_entry* known = m_redirects.find(owned.flow, now);
    const bool differs = known != nullptr && !known->is_hint() &&
                         known->to != message.owner &&
                         !m_members.has_ended(known->to.tag);
    if (differs)
    {
        // If the earlier owner still has the flow, the two owners compare their
        // ages.
        redirect_notice passed_on{message.service,
                                  known->to.tag,
                                  message.owner,
                                  message.lifetime,
                                  {}};
        m_batch.add(passed_on, known->to.agent, owned);
    }
    m_redirects.put(internal::redirect_entry{owned.flow, message.owner,

                                             internal::redirect_kind::published,
                                             now + message.lifetime});
}

bool agent::keeps_ownership(time_point now, internal::flow_entry& entry,
                            const candidate& rival, const owned_flow& owned)
{
    ++m_counts.duplicate_owners;
    if (owned.age >= owned_flow::decided)
    {
        return false;
    }
    const duration age = age_of(entry, now);
    if (rival.tag < m_tag)
    {
        publish(entry, rival, age);
        return true;
    }
    // Ages are those at the time of sending: a second comparison might end
    // differently.
    if (owned.age > age && !entry.is_ownership_settled)
    {
        return false;
    }
    entry.is_ownership_settled = true;
    publish(entry, rival, owned_flow::decided);
    return true;
}

void agent::send(const endpoint& to, peer_message message)
{
    ++m_counts.notices_sent;
    m_effects.add(internal::send_effect{to, std::move(message)});
}

void agent::send_batch()
{
    for (auto& open : m_batch.notices())
    {
        send(open.to, std::move(open.notice));
    }
    m_batch.notices().clear();
}

} // namespace crowlink
