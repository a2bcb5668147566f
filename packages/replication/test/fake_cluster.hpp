#pragma once

#include "fake_disk.hpp"
#include "history_checker.hpp"

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

// Which rules the hosts of a fake cluster keep; all, unless a test wants to see
// that a missing one is noticed.
struct cluster_rules
{
    replica_rules replica;
    store_rules store;
    bool sync = true;
    // Off, so that tests say themselves who is admitted when.
    bool admit_observers = false;
    // Who votes when no operator decides it; off unless a test is about that.
    std::optional<voter_policy_settings> voters{};
};

// Control hosts over a fake network, fake disks and clocks that run at
// different rates. Everything random comes from the seed.
class fake_cluster
{
public:
    static constexpr duration step_length = std::chrono::milliseconds(10);

    // The first `voters` hosts found the log; `spares` more may be admitted.
    fake_cluster(std::size_t voters, std::size_t spares, std::uint64_t seed,
                 cluster_rules rules = {});

    void step();
    void run(std::size_t steps);
    // Whether it came true within so many steps.
    bool run_until(const std::function<bool()>& reached,
                   std::size_t steps = 3000);

    // Sends the host a change from this base; the name is its operation id.
    void propose(std::size_t host, const std::string& operation,
                 std::uint64_t base);
    // The same again, perhaps to another host.
    void resend(std::size_t host, const std::string& operation);
    // The newest answer, if there is one.
    const change_outcome* answer(const std::string& operation) const;
    // The host reads the revision that an order about the data centre is to be
    // proposed with; nothing is sent yet. Yields the order's number, or nothing
    // where the host may not answer reads.
    std::optional<std::size_t> take_order(std::size_t host, bool evacuates);
    // Proposes the order, perhaps long after it was taken, or once more.
    void send_order(std::size_t host, std::size_t order);
    // Takes an order and sends it at once; empty where the host doesn't lead.
    std::optional<std::size_t> give_order(std::size_t host, bool evacuates);
    const change_outcome* order_answer(std::size_t order) const;
    bool evacuated(std::size_t host) const;
    std::size_t orders() const { return m_orders.size(); }
    void change_members(std::size_t host, member_change change);
    const result<void>& members_answer() const { return m_members_answer; }

    void crash(std::size_t host);
    void restart(std::size_t host);
    void lose_disk(std::size_t host);
    // Its writes take so many steps more.
    void slow_disk(std::size_t host, std::uint64_t steps);
    void isolate(std::size_t host);
    void block(std::size_t from, std::size_t to);
    void heal() { m_blocked.clear(); }
    // Messages are lost and doubled with these chances of 100.
    void disturb(unsigned loss, unsigned doubling);

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
        // What the disk is to write, and when it comes to it.
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
    void keep_voters(std::size_t host);
    void carry_out(std::size_t host,
                   const std::vector<document_effect>& effects);
    void event(std::size_t host, const document_event& one);
    void post(const replica_message& message);
    void check();

    cluster_rules m_rules;
    seeded_random m_random;
    replica_settings m_settings;
    std::vector<fake_host> m_hosts;
    std::deque<fake_message> m_network;
    std::set<std::pair<std::size_t, std::size_t>> m_blocked;
    unsigned m_loss = 0;
    unsigned m_doubling = 0;
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
