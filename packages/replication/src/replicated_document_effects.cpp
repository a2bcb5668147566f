#include "crowlink/replication/replicated_document.hpp"

#include "log_payload.hpp"
#include "refused_outcomes.hpp"

// Handling of the effects of the replica.

namespace crowlink::replication
{

using internal::unavailable;
using internal::unknown;

void replicated_document::run_replica(const replica_event& event)
{
    for (const replica_effect& effect : m_replica.handle(m_now, event))
    {
        std::visit([this](const auto& output) { handle_effect(output); },
                   effect);
    }
}

void replicated_document::handle_effect(const send_message& effect)
{
    m_effects.emplace_back(effect);
}

void replicated_document::handle_effect(const persist& effect)
{
    m_effects.emplace_back(effect);
}

void replicated_document::handle_effect(const role_changed& effect)
{
    m_effects.emplace_back(effect);
}

void replicated_document::handle_effect(const apply_entry& effect)
{
    const log_entry& entry = effect.entry;
    complete_at(entry.index, entry.term, apply(entry));
}

change_outcome replicated_document::apply(const log_entry& entry)
{
    change_outcome outcome =
        unknown("the leader was lost; send the operation again");
    if (entry.kind != entry_kind::payload)
    {
        return outcome;
    }
    const auto payload = internal::decode_payload(entry.payload.str());
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
        m_applied_at = m_now;
        m_effects.emplace_back(version_applied{m_store.current_version()});
    }
    return outcome;
}

void replicated_document::handle_effect(const install_snapshot& effect)
{
    result<void> loaded = m_store.load(*effect.taken.data);
    if (loaded)
    {
        loaded = m_evacuations.load(*effect.taken.data);
    }
    if (!loaded)
    {
        run_replica(storage_failed{loaded.error()});
        return;
    }
    m_applied_at = m_now;
    complete_covered(effect.taken.index);
    m_effects.emplace_back(version_applied{m_store.current_version()});
    m_effects.emplace_back(evacuations_applied{m_evacuations.revision()});
}

void replicated_document::handle_effect(const take_snapshot& effect)
{
    std::string data = m_store.save();
    data += m_evacuations.save();
    run_replica(snapshot_taken{
        effect.index, std::make_shared<const std::string>(std::move(data))});
}

void replicated_document::handle_effect(const proposal_appended& effect)
{
    if (m_membership_proposal == effect.request)
    {
        m_membership_proposal.reset();
        m_effects.emplace_back(membership_answered{m_membership_request, {}});
        return;
    }
    const auto found = m_pending.find(effect.request);
    if (found != m_pending.end())
    {
        found->second.index = effect.index;
        found->second.term = effect.term;
    }
}

void replicated_document::handle_effect(const proposal_refused& effect)
{
    if (m_membership_proposal == effect.request)
    {
        m_membership_proposal.reset();
        m_effects.emplace_back(membership_answered{
            m_membership_request, tl::unexpected<error>(effect.cause)});
        return;
    }
    const auto found = m_pending.find(effect.request);
    if (found == m_pending.end())
    {
        return;
    }
    const bool may_have_run = found->second.attempts > 0;
    const std::string cause = to_string(effect.cause);
    complete(effect.request,
             may_have_run ? unknown(cause) : unavailable(cause));
}

} // namespace crowlink::replication
