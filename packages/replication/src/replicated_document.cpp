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
{
}

std::vector<document_effect> replicated_document::start()
{
    for (const replica_effect& effect : m_replica.start())
    {
        std::visit([this](const auto& one) { absorb(one); }, effect);
    }
    return std::exchange(m_effects, {});
}

std::vector<document_effect>
replicated_document::handle(time_point now, const document_event& event)
{
    m_now = std::max(m_now, now);
    std::visit([this](const auto& one) { take(one); }, event);
    return std::exchange(m_effects, {});
}

void replicated_document::take(const propose_change& event)
{
    const std::size_t operation_size = event.change.operation.value().size();
    const std::uint64_t ticket = m_next_ticket++;
    waiting_change waiting;
    waiting.request = event.request;
    waiting.change = event.change;
    waiting.deadline = m_now + answer_timeout;
    const bool full = m_waiting.size() >= max_waiting;
    m_waiting.emplace(ticket, std::move(waiting));
    if (operation_size == 0 || operation_size > m_limits.max_operation_bytes)
    {
        finish(ticket, unavailable("the operation id is empty or too long"));
        return;
    }
    if (full)
    {
        finish(ticket, unavailable("too many changes wait for their answer"));
        return;
    }
    // Committed is committed, whoever is asked.
    if (std::optional<change_outcome> first = m_store.recall(event.change))
    {
        finish(ticket, *first);
        return;
    }
    route(ticket);
}

// An order is never passed on: on its way it could be overtaken by a later one.
void replicated_document::take(const propose_evacuation& event)
{
    const std::uint64_t ticket = m_next_ticket++;
    waiting_change waiting;
    waiting.request = event.request;
    waiting.evacuation = event.change;
    waiting.deadline = m_now + answer_timeout;
    waiting.retry = waiting.deadline;
    const bool full = m_waiting.size() >= max_waiting;
    m_waiting.emplace(ticket, std::move(waiting));
    if (full || !can_read(m_now))
    {
        finish(ticket, unavailable(full ? "too many changes wait"
                                        : "this host does not lead"));
        return;
    }
    run(propose{ticket, internal::encode_evacuation(event.change)});
}

void replicated_document::take(const propose_membership& event)
{
    m_membership_ticket = m_next_ticket++;
    m_membership_request = event.request;
    run(propose_membership{*m_membership_ticket, event.change});
}

void replicated_document::take(const message_received& event)
{
    const replica_message& message = event.message;
    const bool to_us = message.to == m_self;
    if (const auto* forwarded = std::get_if<forwarded_change>(&message.body))
    {
        if (to_us)
        {
            take_forwarded(message.from, *forwarded);
        }
        return;
    }
    if (const auto* received = std::get_if<forwarded_answer>(&message.body))
    {
        if (to_us)
        {
            take_answer(*received);
        }
        return;
    }
    run(event);
}

void replicated_document::take(const tick& event)
{
    run(event);
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> stuck;
    for (const auto& [ticket, waiting] : m_waiting)
    {
        if (m_now >= waiting.deadline)
        {
            expired.push_back(ticket);
        }
        else if (waiting.index == 0 && m_now >= waiting.retry)
        {
            stuck.push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : expired)
    {
        finish(ticket, unknown("no answer in time; send it again"));
    }
    for (const std::uint64_t ticket : stuck)
    {
        route(ticket);
    }
}

void replicated_document::take(const storage_done& event)
{
    run(event);
}

void replicated_document::take(const storage_failed& event)
{
    run(event);
}

void replicated_document::take_forwarded(const host_id& from,
                                         const forwarded_change& forwarded)
{
    const bool leads = status(m_now).role == replica_role::leader;
    // Unanswered, the sender asks the leader that it then knows.
    if (!leads || m_waiting.size() >= max_waiting)
    {
        return;
    }
    for (const auto& [ticket, waiting] : m_waiting)
    {
        if (waiting.asker == from && waiting.request == forwarded.request &&
            waiting.change == forwarded.change)
        {
            return;
        }
    }
    const std::uint64_t ticket = m_next_ticket++;
    waiting_change waiting;
    waiting.request = forwarded.request;
    waiting.asker = from;
    waiting.change = forwarded.change;
    waiting.deadline = m_now + answer_timeout;
    m_waiting.emplace(ticket, std::move(waiting));
    if (std::optional<change_outcome> first = m_store.recall(forwarded.change))
    {
        finish(ticket, *first);
        return;
    }
    route(ticket);
}

void replicated_document::take_answer(const forwarded_answer& received)
{
    const auto found = m_waiting.find(received.request);
    if (found == m_waiting.end() || found->second.attempts == 0 ||
        found->second.change.operation != received.operation)
    {
        return;
    }
    // One refusal says nothing about an earlier attempt.
    const bool doubtful =
        received.outcome.result == change_result::unavailable &&
        found->second.attempts > 1;
    finish(received.request, doubtful
                                 ? unknown("refused after an earlier attempt")
                                 : received.outcome);
}

void replicated_document::route(std::uint64_t ticket)
{
    waiting_change& waiting = m_waiting.at(ticket);
    const replica_status state = status(m_now);
    const bool leads = state.role == replica_role::leader;
    if (leads)
    {
        run(propose{ticket, encode_change(waiting.change)});
        return;
    }
    const bool first = waiting.attempts == 0;
    if (!state.leader.value().empty() && waiting.asker.value().empty())
    {
        pass_on(waiting, ticket, state.leader);
    }
    else if (first)
    {
        finish(ticket, unavailable("no leader is known"));
    }
}

void replicated_document::pass_on(waiting_change& waiting, std::uint64_t ticket,
                                  const host_id& leader)
{
    ++waiting.attempts;
    waiting.retry = m_now + retry_interval;
    send(leader, forwarded_change{ticket, waiting.change});
}

void replicated_document::finish(std::uint64_t ticket, change_outcome outcome)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
    {
        return;
    }
    const waiting_change waiting = std::move(found->second);
    m_waiting.erase(found);
    if (waiting.asker.value().empty())
    {
        m_effects.emplace_back(
            change_answered{waiting.request, std::move(outcome)});
        return;
    }
    send(waiting.asker,
         forwarded_answer{waiting.request, waiting.change.operation,
                          std::move(outcome)});
}

void replicated_document::finish_at(log_index index, term_number term,
                                    const change_outcome& outcome)
{
    std::vector<std::uint64_t> there;
    std::vector<std::uint64_t> displaced;
    for (const auto& [ticket, waiting] : m_waiting)
    {
        if (waiting.index == index)
        {
            (waiting.term == term ? there : displaced).push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : there)
    {
        finish(ticket, outcome);
    }
    for (const std::uint64_t ticket : displaced)
    {
        finish(ticket, unknown("the leader was lost; send it again"));
    }
}

void replicated_document::finish_covered(log_index index)
{
    std::vector<std::uint64_t> covered;
    for (const auto& [ticket, waiting] : m_waiting)
    {
        if (waiting.index != 0 && waiting.index <= index)
        {
            covered.push_back(ticket);
        }
    }
    for (const std::uint64_t ticket : covered)
    {
        const waiting_change& waiting = m_waiting.at(ticket);
        // What became of an order is not remembered.
        const std::optional<change_outcome> first =
            waiting.evacuation ? std::nullopt : m_store.recall(waiting.change);
        finish(ticket,
               first.value_or(unknown("the leader was lost; send it again")));
    }
}

void replicated_document::send(const host_id& to, message_body body)
{
    const replica_status state = status(m_now);
    m_effects.emplace_back(send_message{replica_message{
        m_self, state.disk, to, disk_id(), 0, state.term, std::move(body)}});
}

} // namespace crowlink::replication
