#pragma once

#include "fake_disk.hpp"
#include "history_checker.hpp"

#include "crowlink/replication/founding_acceptor.hpp"
#include "crowlink/replication/log_storage.hpp"
#include "crowlink/replication/replicated_document.hpp"
#include "crowlink/replication/voter_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crowlink::replication
{

// The rules of the hosts in a fake cluster. A test disables one to show that
// its absence is detected.
struct cluster_rules
{
    replica_rules replica;
    store_rules store;
    bool sync = true;
    // Off, so that tests control when hosts are admitted.
    bool admit_observers = false;
    // Settings of the voter policy; empty if members change only by request.
    std::optional<voter_policy_settings> voters{};
    // Hosts without a disk, which pass on hellos.
    std::set<std::size_t> relays{};
    // The hosts that all settings name. If there are any, they choose the
    // initial voters, and hosts learn of others by their hellos.
    std::vector<std::size_t> seeds{};
};

// A control process without a disk.
struct fake_relay
{
    founding_acceptor acceptor;
    std::set<host_id> introduced;
    bool knows_of_a_log = false;
};

// Control hosts with a simulated network, simulated disks and clocks of
// different rates. The seed determines all random choices.
class fake_cluster
{
public:
    static constexpr duration step_length = std::chrono::milliseconds(10);

    // The first `voters` hosts bootstrap the log; `spares` more may be
    // admitted. With seeds they choose that many voters.
    fake_cluster(std::size_t voters, std::size_t spares, std::uint64_t seed,
                 cluster_rules rules = {});

    void step();
    void run(std::size_t steps);
    // Runs until the condition holds; false if it does not within `steps`.
    bool run_until(const std::function<bool()>& reached,
                   std::size_t steps = 3000);

    // Proposes a change of this base version to the host; `operation` is its
    // operation id.
    void propose(std::size_t host, const std::string& operation,
                 std::uint64_t base);
    // Proposes the same operation again, possibly to another host.
    void resend(std::size_t host, const std::string& operation);
    // The latest answer; null if there is none.
    const change_outcome* answer(const std::string& operation) const;
    // Prepares an evacuation order with the revision that the host reads, and
    // proposes nothing yet. Returns the number of the order; empty if the host
    // may not answer reads.
    std::optional<std::size_t> prepare_order(std::size_t host, bool evacuates);
    // Proposes a prepared order, possibly late or repeatedly.
    void propose_order(std::size_t host, std::size_t order);
    // Prepares and proposes an order; empty if the host may not answer reads.
    std::optional<std::size_t> issue_order(std::size_t host, bool evacuates);
    const change_outcome* order_answer(std::size_t order) const;
    bool evacuated(std::size_t host) const;
    std::size_t orders() const { return m_orders.size(); }
    void change_members(std::size_t host, member_change change);
    const result<void>& members_answer() const { return m_members_answer; }

    void crash(std::size_t host);
    void restart(std::size_t host);
    void lose_disk(std::size_t host);
    // Delays each write of the host by this many steps.
    void slow_disk(std::size_t host, std::uint64_t steps);
    void isolate(std::size_t host);
    void block(std::size_t from, std::size_t to);
    void heal() { m_blocked.clear(); }
    // Sets the percentages of messages that are lost and duplicated.
    void set_message_faults(unsigned loss, unsigned duplication);

    std::optional<std::size_t> leader() const;
    std::size_t size() const { return m_hosts.size(); }
    bool up(std::size_t host) const
    {
        return m_hosts[host].document.has_value();
    }
    fake_disk& disk(std::size_t host) { return m_hosts[host].disk; }
    replica_status status(std::size_t host) const;
    std::uint64_t version(std::size_t host) const;
    bool may_read(std::size_t host) const
    {
        return m_hosts[host].document->can_read(now(m_hosts[host]));
    }
    const history_checker& checker() const { return m_checker; }
    std::string violation() const { return m_checker.violation(); }
    static host_id name(std::size_t host);
    static std::size_t index_of(const host_id& host);

private:
    struct fake_host
    {
        fake_disk disk;
        std::optional<log_storage<fake_disk>> storage;
        std::optional<replicated_document> document;
        std::optional<fake_relay> relay;
        // Pending writes with the steps at which they are carried out.
        std::deque<std::pair<std::uint64_t, persist_request>> writes;
        std::uint64_t disk_delay = 0;
        double clock_rate = 1.0;
    };
    struct fake_message
    {
        std::uint64_t due = 0;
        replica_message message;
    };

    time_point now(const fake_host& host) const;
    void deliver();
    void write(std::size_t host);
    void end_process(std::size_t host, bool loses_power);
    void apply_voter_policy(std::size_t host);
    void follow_members(std::size_t host);
    void relay(std::size_t host, const replica_message& message);
    void perform_effects(std::size_t host,
                         const std::vector<document_effect>& effects);
    void event(std::size_t host, const document_event& one);
    // A relay sends hellos of others.
    void transmit(const replica_message& message, const host_id& sender);
    void check();

    cluster_rules m_rules;
    seeded_random m_random;
    replica_settings m_settings;
    std::vector<fake_host> m_hosts;
    std::deque<fake_message> m_network;
    std::set<std::pair<std::size_t, std::size_t>> m_blocked;
    unsigned m_loss = 0;
    unsigned m_duplication = 0;
    std::uint64_t m_step = 0;
    std::uint64_t m_next_request = 1;
    std::map<std::uint64_t, operation_id> m_requests;
    std::map<std::string, document_change> m_changes;
    std::map<std::string, change_outcome> m_answers;
    std::vector<evacuation_change> m_orders;
    std::map<std::size_t, change_outcome> m_order_answers;
    std::map<std::uint64_t, std::size_t> m_order_requests;
    result<void> m_members_answer;
    history_checker m_checker;
};

} // namespace crowlink::replication
