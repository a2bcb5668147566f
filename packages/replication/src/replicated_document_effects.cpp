#include "crowlink/replication/replicated_document.hpp"

#include "log_payload.hpp"
#include "refused_outcomes.hpp"

// What a replica wants done, as its document sees it.

namespace crowlink::replication
{

using internal::unavailable;
using internal::unknown;

void replicated_document::run(const replica_event& event)
{
    for (const replica_effect& effect : m_replica.handle(m_now, event))
    {
        std::visit([this](const auto& one) { absorb(one); }, effect);
    }
}

void replicated_document::absorb(const send_message& effect)
{
    m_effects.emplace_back(effect);
}

void replicated_document::absorb(const persist& effect)
{
    m_effects.emplace_back(effect);
}

void replicated_document::absorb(const role_changed& effect)
{
    m_effects.emplace_back(effect);
}

void replicated_document::absorb(const apply_entry& effect)
{
    const log_entry& entry = effect.entry;
    finish_at(entry.index, entry.term, apply(entry));
}

change_outcome replicated_document::apply(const log_entry& entry)
{
    change_outcome outcome = unknown("the leader was lost; send it again");
    if (entry.kind != entry_kind::payload)
    {
        return outcome;
    }
    const auto payload = internal::decode_payload(entry.payload);
    if (!payload)
    {
        return outcome;
    }
    if (const auto* order = std::get_if<evacuation_change>(&*payload))
    {
        outcome = m_evacuations.apply(*order);
        m_effects.emplace_back(evacuations_applied{m_evacuations.revision()});
        return outcome;
    }
    const config_version before = m_store.current_version();
    outcome = m_store.apply(std::get<document_change>(*payload));
    if (m_store.current_version() != before)
    {
        m_effects.emplace_back(version_applied{m_store.current_version()});
    }
    return outcome;
}

void replicated_document::absorb(const install_snapshot& effect)
{
    result<void> loaded = m_store.load(*effect.taken.data);
    if (loaded)
    {
        loaded = m_evacuations.load(*effect.taken.data);
    }
    if (!loaded)
    {
        run(storage_failed{loaded.error()});
        return;
    }
    finish_covered(effect.taken.index);
    m_effects.emplace_back(version_applied{m_store.current_version()});
    m_effects.emplace_back(evacuations_applied{m_evacuations.revision()});
}

void replicated_document::absorb(const take_snapshot& effect)
{
    run(snapshot_taken{effect.index, m_store.save() + m_evacuations.save()});
}

void replicated_document::absorb(const proposal_appended& effect)
{
    if (m_membership_ticket == effect.request)
    {
        m_membership_ticket.reset();
        m_effects.emplace_back(membership_answered{m_membership_request, {}});
        return;
    }
    const auto found = m_waiting.find(effect.request);
    if (found != m_waiting.end())
    {
        found->second.index = effect.index;
        found->second.term = effect.term;
    }
}

void replicated_document::absorb(const proposal_refused& effect)
{
    if (m_membership_ticket == effect.request)
    {
        m_membership_ticket.reset();
        m_effects.emplace_back(membership_answered{
            m_membership_request, tl::unexpected<error>(effect.cause)});
        return;
    }
    const auto found = m_waiting.find(effect.request);
    if (found == m_waiting.end())
    {
        return;
    }
    const bool doubtful = found->second.attempts > 0;
    const std::string cause = to_string(effect.cause);
    finish(effect.request, doubtful ? unknown(cause) : unavailable(cause));
}

} // namespace crowlink::replication
