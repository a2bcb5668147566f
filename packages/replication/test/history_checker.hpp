#pragma once

#include "crowlink/base/time.hpp"
#include "crowlink/replication/document_store.hpp"
#include "crowlink/replication/log_position.hpp"
#include "crowlink/replication/replica_status.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crowlink::replication
{

// Compares what the hosts show with the naive version: one map from version to
// change, filled in by whoever shows a version first. Keeps the first
// violation that it sees.
class history_checker
{
public:
    // Role and term of a running host, and what its store holds.
    void see(const replica_status& status, const document_store& store,
             bool can_read);
    // The time outside of all hosts.
    void at(time_point now) { m_now = now; }
    // A host believes that its document was the newest so long ago.
    void see_age(const host_id& host, const document_store& store,
                 duration age);
    // A host starts anew, and may apply again what it had applied.
    void restarted(const host_id& host) { m_applied.erase(host); }
    void proposed(const document_change& change);
    void answered(const operation_id& operation, const change_outcome& outcome);

    // An order about the data centre was taken, and later answered. Orders are
    // numbered in the sequence in which they are taken.
    void order_taken(std::size_t order, bool evacuates);
    void order_answered(std::size_t order, const change_outcome& outcome);
    // A host that may be read says whether the data centre is evacuated.
    void see_evacuated(const host_id& host, bool evacuated);

    void report(const std::string& what);

    const std::string& violation() const { return m_violation; }
    std::uint64_t acknowledged() const { return m_acknowledged; }
    std::size_t applied_answers() const { return m_applied_answers; }
    std::size_t acknowledged_orders() const { return m_acknowledged_orders; }

private:
    void see_version(const host_id& host, const document_version& version);

    std::map<term_number, host_id> m_leaders;
    std::map<std::uint64_t, document_version> m_naive;
    std::map<operation_id, std::uint64_t> m_effects;
    std::map<operation_id, document_change> m_proposed;
    std::map<operation_id, change_outcome> m_answers;
    std::map<host_id, std::uint64_t> m_applied;
    std::uint64_t m_acknowledged = 0;
    // When each version was acknowledged first.
    std::map<time_point, std::uint64_t> m_acknowledged_at;
    time_point m_now;
    std::size_t m_applied_answers = 0;
    // Whether each order evacuates.
    std::vector<bool> m_orders;
    // Of those that were acknowledged, the one that was taken last.
    std::optional<std::size_t> m_last_order;
    std::size_t m_acknowledged_orders = 0;
    std::string m_violation;
};

} // namespace crowlink::replication
