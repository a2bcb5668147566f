#include "history_checker.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace crowlink::replication
{

namespace
{

// The clock rates are 0.96 to 1.04, so that an isolated leader may hold its
// lease for 80 ms longer than the others wait, and a message takes up to 30 ms.
constexpr double clock_slack = 1.1;
constexpr duration age_slack = std::chrono::milliseconds(200);

} // namespace

void history_checker::report(const std::string& what)
{
    if (m_violation.empty())
    {
        m_violation = what;
    }
}

void history_checker::check_replica(const replica_status& status,
                                    const document_store& store, bool can_read)
{
    const std::string& name = status.self.value();
    if (status.role == replica_role::leader)
    {
        const auto [known, fresh] = m_leaders.emplace(status.term, status.self);
        if (!fresh && known->second != status.self)
        {
            report(fmt::format("two leaders in term {}", status.term));
        }
    }
    std::uint64_t& applied = m_applied[status.self];
    const std::uint64_t current = store.current_version().value();
    if (current < applied)
    {
        report(fmt::format("{} fell from version {} to {}", name, applied,
                           current));
    }
    const auto& history = store.history();
    for (auto one = history.rbegin();
         one != history.rend() && one->version.value() > applied; ++one)
    {
        check_version(status.self, *one);
    }
    applied = current;
    if (can_read && current < m_acknowledged)
    {
        report(fmt::format("{} may be read at version {}, but {} is "
                           "acknowledged",
                           name, current, m_acknowledged));
    }
}

void history_checker::check_age(const host_id& host,
                                const document_store& store, duration age)
{
    const auto oldest = std::chrono::duration_cast<duration>(age * clock_slack);
    const auto after =
        m_acknowledged_at.upper_bound(m_now - oldest - age_slack);
    if (after == m_acknowledged_at.begin())
    {
        return;
    }
    const std::uint64_t known = std::prev(after)->second;
    if (store.current_version().value() < known)
    {
        report(fmt::format("{} takes version {} for the newest of {} ms ago, "
                           "but {} was acknowledged",
                           host.value(), store.current_version().value(),
                           age / std::chrono::milliseconds(1), known));
    }
}

void history_checker::check_version(const host_id& host,
                                    const document_version& version)
{
    const std::uint64_t number = version.version.value();
    const auto [known, fresh] = m_reference.emplace(number, version);
    if (!fresh && known->second != version)
    {
        report(fmt::format("version {} is {} at {}, but was {}", number,
                           version.operation.value(), host.value(),
                           known->second.operation.value()));
    }
    const auto [effect, first] = m_effects.emplace(version.operation, number);
    if (!first && effect->second != number)
    {
        report(fmt::format("operation {} made versions {} and {}",
                           version.operation.value(), effect->second, number));
    }
    const auto change = m_proposed.find(version.operation);
    if (change == m_proposed.end() ||
        change->second.base.value() + 1 != number ||
        change->second.document != version.document)
    {
        report(fmt::format("version {} is not what was proposed", number));
    }
}

void history_checker::order_prepared(std::size_t order, bool evacuates)
{
    m_orders.resize(order + 1);
    m_orders[order] = evacuates;
}

void history_checker::order_answered(std::size_t order,
                                     const change_outcome& outcome)
{
    const bool acknowledged = outcome.result == change_result::applied ||
                              outcome.result == change_result::superseded;
    if (!acknowledged)
    {
        return;
    }
    ++m_acknowledged_orders;
    m_last_order = std::max(m_last_order.value_or(order), order);
}

// Only an order that was prepared later may undo an acknowledged order.
void history_checker::check_evacuated(const host_id& host, bool evacuated)
{
    if (!m_last_order || m_orders[*m_last_order] == evacuated)
    {
        return;
    }
    const auto later =
        m_orders.begin() + static_cast<std::ptrdiff_t>(*m_last_order) + 1;
    if (std::find(later, m_orders.end(), evacuated) == m_orders.end())
    {
        report(fmt::format("{} is {}evacuated, against order {}, which was "
                           "acknowledged",
                           host.value(), evacuated ? "" : "not ",
                           *m_last_order));
    }
}

void history_checker::proposed(const document_change& change)
{
    m_proposed.emplace(change.operation, change);
}

void history_checker::answered(const operation_id& operation,
                               const change_outcome& outcome)
{
    const bool certain = outcome.result == change_result::applied ||
                         outcome.result == change_result::conflict;
    if (!certain)
    {
        return;
    }
    const auto [known, fresh] = m_answers.emplace(operation, outcome);
    if (!fresh && known->second != outcome)
    {
        report(fmt::format("operation {} got two different answers",
                           operation.value()));
    }
    if (outcome.result == change_result::conflict)
    {
        return;
    }
    m_applied_answers += fresh ? 1 : 0;
    const std::uint64_t version = outcome.version.value();
    if (version > m_acknowledged)
    {
        m_acknowledged = version;
        m_acknowledged_at[m_now] = version;
    }
    const auto reference = m_reference.find(version);
    if (reference != m_reference.end() &&
        reference->second.operation != operation)
    {
        report(fmt::format("version {} was acknowledged to {}, but is {}",
                           version, operation.value(),
                           reference->second.operation.value()));
    }
    if (reference == m_reference.end())
    {
        const document_change& change = m_proposed.at(operation);
        m_reference.emplace(
            version, document_version{outcome.version, operation,
                                      change.operator_name, change.document});
        m_effects.emplace(operation, version);
    }
}

} // namespace crowlink::replication
