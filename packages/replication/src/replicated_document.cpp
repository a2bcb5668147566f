#include "crowlink/replication/replicated_document.hpp"

#include "log_payload.hpp"
#include "refused_outcomes.hpp"

#include <algorithm>
#include <utility>

namespace crowlink::replication
{

using internal::unavailable;
using internal::unknown;

replicated_document::replicated_document(const replica_settings& settings,
                                         durable_state restored, time_point now,
                                         seeded_random random,
                                         store_limits limits,
                                         replica_rules rules, store_rules store)
    : m_self(settings.self)
    , m_replica(settings, std::move(restored), now, random, rules)
    , m_store(limits, store)
    , m_evacuations(store)
    , m_limits(limits)
    , m_now(now)
    , m_applied_at(now)
{
}

std::vector<document_effect> replicated_document::start()
{
    for (const replica_effect& effect : m_replica.start())
    {
        std::visit([this](const auto& output) { handle_effect(output); },
                   effect);
    }
    return std::exchange(m_effects, {});
}

std::vector<document_effect>
replicated_document::handle(time_point now, const document_event& event)
{
    m_now = std::max(m_now, now);
    std::visit([this](const auto& input) { handle_event(input); }, event);
    return std::exchange(m_effects, {});
}

void replicated_document::handle_event(const propose_change& event)
{
    const std::size_t operation_size = event.change.operation.value().size();
    const std::uint64_t proposal = m_next_proposal++;
    pending_operation pending;
    pending.request = event.request;
    pending.change = event.change;
    pending.deadline = m_now + answer_timeout;
    const bool full = m_pending.size() >= max_pending;
    m_pending.emplace(proposal, std::move(pending));
    if (operation_size == 0 || operation_size > m_limits.max_operation_bytes)
    {
        complete(proposal,
                 unavailable("the operation id is empty or too long"));
        return;
    }
    if (full)
    {
        complete(proposal, unavailable("too many changes wait for an answer"));
        return;
    }
    // A committed answer is final, so that any host may give it.
    if (std::optional<change_outcome> first = m_store.find_answer(event.change))
    {
        complete(proposal, *first);
        return;
    }
    route(proposal);
}

// Evacuation orders are never forwarded, because a later order could overtake
// them on the way.
void replicated_document::handle_event(const propose_evacuation& event)
{
    const std::uint64_t proposal = m_next_proposal++;
    pending_operation pending;
    pending.request = event.request;
    pending.evacuation = event.change;
    pending.deadline = m_now + answer_timeout;
    pending.retry = pending.deadline;
    const bool full = m_pending.size() >= max_pending;
    m_pending.emplace(proposal, std::move(pending));
    if (full || !can_read(m_now))
    {
        complete(proposal,
                 unavailable(full ? "too many changes wait for an answer"
                                  : "this host is not the leader"));
        return;
    }
    run_replica(propose{proposal, internal::encode_evacuation(event.change)});
}

void replicated_document::handle_event(const propose_membership& event)
{
    m_membership_proposal = m_next_proposal++;
    m_membership_request = event.request;
    run_replica(propose_membership{*m_membership_proposal, event.change});
}

void replicated_document::handle_event(const message_received& event)
{
    const replica_message& message = event.message;
    const bool is_addressed_here = message.to == m_self;
    if (const auto* forwarded = std::get_if<forwarded_change>(&message.body))
    {
        if (is_addressed_here)
        {
            on_forwarded_change(message.from, *forwarded);
        }
        return;
    }
    if (const auto* received = std::get_if<forwarded_answer>(&message.body))
    {
        if (is_addressed_here)
        {
            on_forwarded_answer(*received);
        }
        return;
    }
    run_replica(event);
}

void replicated_document::handle_event(const held_up& event)
{
    run_replica(event);
}

void replicated_document::handle_event(const tick& event)
{
    run_replica(event);
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> due_retries;
    for (const auto& [proposal, pending] : m_pending)
    {
        if (m_now >= pending.deadline)
        {
            expired.push_back(proposal);
        }
        else if (pending.index == 0 && m_now >= pending.retry)
        {
            due_retries.push_back(proposal);
        }
    }
    for (const std::uint64_t proposal : expired)
    {
        complete(proposal,
                 unknown("no answer in time; send the operation again"));
    }
    for (const std::uint64_t proposal : due_retries)
    {
        route(proposal);
    }
}

void replicated_document::handle_event(const storage_done& event)
{
    run_replica(event);
}

void replicated_document::handle_event(const storage_failed& event)
{
    run_replica(event);
}

void replicated_document::on_forwarded_change(const host_id& from,
                                              const forwarded_change& forwarded)
{
    const bool leads = status(m_now).role == replica_role::leader;
    // Without an answer the sender retries with the leader that it knows then.
    if (!leads || m_pending.size() >= max_pending)
    {
        return;
    }
    for (const auto& [proposal, pending] : m_pending)
    {
        if (pending.requester == from && pending.request == forwarded.request &&
            pending.change == forwarded.change)
        {
            return;
        }
    }
    const std::uint64_t proposal = m_next_proposal++;
    pending_operation pending;
    pending.request = forwarded.request;
    pending.requester = from;
    pending.change = forwarded.change;
    pending.deadline = m_now + answer_timeout;
    m_pending.emplace(proposal, std::move(pending));
    if (std::optional<change_outcome> first =
            m_store.find_answer(forwarded.change))
    {
        complete(proposal, *first);
        return;
    }
    route(proposal);
}

void replicated_document::on_forwarded_answer(const forwarded_answer& received)
{
    const auto found = m_pending.find(received.request);
    if (found == m_pending.end() || found->second.attempts == 0 ||
        found->second.change.operation != received.operation)
    {
        return;
    }
    // A rejection of one attempt says nothing about an earlier one.
    const bool may_have_run =
        received.outcome.result == change_result::unavailable &&
        found->second.attempts > 1;
    complete(received.request,
             may_have_run
                 ? unknown("refused after an earlier attempt of the operation")
                 : received.outcome);
}

// Adds what the leader knows of the time to a change that it proposes.
document_change replicated_document::stamped(document_change change) const
{
    if (change.routing)
    {
        change.routing->proposed_at =
            m_store.routing().time() +
            std::chrono::floor<std::chrono::milliseconds>(m_now - m_applied_at);
        change.routing->flow_life = m_limits.flow_life;
    }
    return change;
}

void replicated_document::route(std::uint64_t proposal)
{
    pending_operation& pending = m_pending.at(proposal);
    const replica_status state = status(m_now);
    const bool leads = state.role == replica_role::leader;
    if (leads)
    {
        run_replica(propose{proposal, encode_change(stamped(pending.change))});
        return;
    }
    const bool first = pending.attempts == 0;
    if (!state.leader.value().empty() && pending.requester.value().empty())
    {
        forward_to(pending, proposal, state.leader);
    }
    else if (first)
    {
        complete(proposal, unavailable("no leader is known"));
    }
}

void replicated_document::forward_to(pending_operation& pending,
                                     std::uint64_t proposal,
                                     const host_id& leader)
{
    ++pending.attempts;
    pending.retry = m_now + retry_interval;
    send(leader, forwarded_change{proposal, pending.change});
}

void replicated_document::complete(std::uint64_t proposal,
                                   change_outcome outcome)
{
    const auto found = m_pending.find(proposal);
    if (found == m_pending.end())
    {
        return;
    }
    const pending_operation pending = std::move(found->second);
    m_pending.erase(found);
    if (pending.requester.value().empty())
    {
        m_effects.emplace_back(
            change_answered{pending.request, std::move(outcome)});
        return;
    }
    send(pending.requester,
         forwarded_answer{pending.request, pending.change.operation,
                          std::move(outcome)});
}

void replicated_document::complete_at(log_index index, term_number term,
                                      const change_outcome& outcome)
{
    std::vector<std::uint64_t> committed;
    std::vector<std::uint64_t> replaced;
    for (const auto& [proposal, pending] : m_pending)
    {
        if (pending.index == index)
        {
            (pending.term == term ? committed : replaced).push_back(proposal);
        }
    }
    for (const std::uint64_t proposal : committed)
    {
        complete(proposal, outcome);
    }
    for (const std::uint64_t proposal : replaced)
    {
        complete(proposal,
                 unknown("the leader was lost; send the operation again"));
    }
}

void replicated_document::complete_covered(log_index index)
{
    std::vector<std::uint64_t> covered;
    for (const auto& [proposal, pending] : m_pending)
    {
        if (pending.index != 0 && pending.index <= index)
        {
            covered.push_back(proposal);
        }
    }
    for (const std::uint64_t proposal : covered)
    {
        const pending_operation& pending = m_pending.at(proposal);
        // The outcomes of evacuation orders are not kept.
        const std::optional<change_outcome> first =
            pending.evacuation ? std::nullopt
                               : m_store.find_answer(pending.change);
        complete(proposal,
                 first.value_or(
                     unknown("the leader was lost; send the operation again")));
    }
}

void replicated_document::send(const host_id& to, message_body body)
{
    const replica_status state = status(m_now);
    m_effects.emplace_back(send_message{replica_message{
        m_self, state.disk, to, disk_id(), 0, state.term, std::move(body)}});
}

} // namespace crowlink::replication
