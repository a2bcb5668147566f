#pragma once

#include "crowlink/replication/document_store.hpp"
#include "crowlink/replication/evacuations.hpp"
#include "crowlink/replication/replica.hpp"
#include "crowlink/replication/replicated_document_event.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crowlink::replication
{

// The operators' document on one control host: a replica, the store that it
// feeds, and the changes that wait for their answer. A host that is not the
// leader passes changes on to it. Without I/O, as the replica.
//
//   auto effects = document.handle(now, propose_change{1, change});
//   // send_message and persist go to the shell; change_answered comes later,
//   // with the effects of another event.
class replicated_document
{
public:
    // How long a change may wait before it is answered as unknown.
    static constexpr duration answer_timeout = std::chrono::seconds(10);
    // After this it is passed on to the leader again.
    static constexpr duration retry_interval = std::chrono::seconds(1);
    // Changes that wait at one time; more are refused as unavailable.
    static constexpr std::size_t max_waiting = 1024;

    replicated_document(const replica_settings& settings,
                        durable_state restored, time_point now,
                        seeded_random random, store_limits limits = {},
                        replica_rules rules = {}, store_rules store = {});

    // To be called once, before any event.
    std::vector<document_effect> start();

    // Times must not fall from call to call.
    std::vector<document_effect> handle(time_point now,
                                        const document_event& event);

    // Other control hosts are said hello to from now on.
    void set_peers(std::vector<host_id> peers)
    {
        m_replica.set_peers(std::move(peers));
    }

    // What this host has applied; it may be older than what the leader has. Its
    // age is in the status.
    const document_store& store() const { return m_store; }
    const evacuations& evacuated() const { return m_evacuations; }

    // Whether store() and evacuated() are the newest there are.
    bool can_read(time_point now) const { return m_replica.can_read(now); }

    replica_status status(time_point now) const
    {
        return m_replica.status(now);
    }

private:
    // Who waits for a change: a caller on this host, or another host.
    struct waiting_change
    {
        // The asker's number for it.
        std::uint64_t request = 0;
        // Empty for a caller on this host.
        host_id asker;
        document_change change;
        // Set where an order about a data centre waits, and no change.
        std::optional<evacuation_change> evacuation{};
        time_point deadline;
        // When it is passed on again, if it is on its way to the leader.
        time_point retry;
        std::uint32_t attempts = 0;
        // Where it is in the log; 0 until it has been appended here.
        log_index index = 0;
        term_number term = 0;
    };
    // By the number under which the replica knows them.
    using waiting_map = std::map<std::uint64_t, waiting_change>;

    void take(const propose_change& event);
    void take(const propose_evacuation& event);
    void take(const propose_membership& event);
    void take(const message_received& event);
    void take(const tick& event);
    void take(const storage_done& event);
    void take(const storage_failed& event);
    void take_forwarded(const host_id& from, const forwarded_change& forwarded);
    void take_answer(const forwarded_answer& received);

    // Proposes it here or passes it on to the leader.
    void route(std::uint64_t ticket);
    void pass_on(waiting_change& waiting, std::uint64_t ticket,
                 const host_id& leader);
    void finish(std::uint64_t ticket, change_outcome outcome);
    void finish_at(log_index index, term_number term,
                   const change_outcome& outcome);
    void finish_covered(log_index index);
    void send(const host_id& to, message_body body);

    void run(const replica_event& event);
    void absorb(const send_message& effect);
    void absorb(const persist& effect);
    void absorb(const role_changed& effect);
    void absorb(const apply_entry& effect);
    change_outcome apply(const log_entry& entry);
    void absorb(const install_snapshot& effect);
    void absorb(const take_snapshot& effect);
    void absorb(const proposal_appended& effect);
    void absorb(const proposal_refused& effect);

    host_id m_self;
    replica m_replica;
    document_store m_store;
    evacuations m_evacuations;
    store_limits m_limits;
    waiting_map m_waiting;
    std::uint64_t m_next_ticket = 1;
    // The membership change that is being proposed right now.
    std::optional<std::uint64_t> m_membership_ticket;
    std::uint64_t m_membership_request = 0;
    time_point m_now;
    std::vector<document_effect> m_effects;
};

} // namespace crowlink::replication
