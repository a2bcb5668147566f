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

// Compares the states of the hosts with a reference model: a map from version
// to change, which holds each version as it was first seen on a host. Keeps the
// first violation.
class history_checker
{
public:
    // Checks the role, the term and the store of a running host.
    void check_replica(const replica_status& status,
                       const document_store& store, bool can_read);
    // Sets the simulated time, independent of the clocks of the hosts.
    void at(time_point now) { m_now = now; }
    // Checks the claim of a host that its document was the newest `age` ago.
    void check_age(const host_id& host, const document_store& store,
                   duration age);
    // Records a restart, after which a host may apply the same entries again.
    void restarted(const host_id& host) { m_applied.erase(host); }
    void proposed(const document_change& change);
    void answered(const operation_id& operation, const change_outcome& outcome);

    // Record that an evacuation order was prepared, and answered. Orders are
    // numbered in the sequence in which they are prepared.
    void order_prepared(std::size_t order, bool evacuates);
    void order_answered(std::size_t order, const change_outcome& outcome);
    // Checks the answer of a host that may be read whether the data centre is
    // evacuated.
    void check_evacuated(const host_id& host, bool evacuated);

    void report(const std::string& what);

    const std::string& violation() const { return m_violation; }
    std::uint64_t acknowledged() const { return m_acknowledged; }
    std::size_t applied_answers() const { return m_applied_answers; }
    std::size_t acknowledged_orders() const { return m_acknowledged_orders; }

private:
    void check_version(const host_id& host, const document_version& version);

    std::map<term_number, host_id> m_leaders;
    std::map<std::uint64_t, document_version> m_reference;
    std::map<operation_id, std::uint64_t> m_effects;
    std::map<operation_id, document_change> m_proposed;
    std::map<operation_id, change_outcome> m_answers;
    std::map<host_id, std::uint64_t> m_applied;
    std::uint64_t m_acknowledged = 0;
    // The versions by the time at which each was first acknowledged.
    std::map<time_point, std::uint64_t> m_acknowledged_at;
    time_point m_now;
    std::size_t m_applied_answers = 0;
    // Whether each order starts an evacuation, by its number.
    std::vector<bool> m_orders;
    // The acknowledged order that was prepared last.
    std::optional<std::size_t> m_last_order;
    std::size_t m_acknowledged_orders = 0;
    std::string m_violation;
};

} // namespace crowlink::replication
