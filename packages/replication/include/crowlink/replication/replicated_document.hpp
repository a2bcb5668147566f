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

// The operators' document on one control host: a replica, the state machines
// that it feeds, and the changes that wait for their answer. A host that is not
// the leader forwards changes to the leader. Does no I/O, like the replica.
//
//   auto effects = document.handle(now, propose_change{1, change});
//   // The caller carries out send_message and persist; change_answered comes
//   // later, with the effects of another event.
class replicated_document
{
public:
    // A change without an answer in this time is answered as unknown.
    static constexpr duration answer_timeout = std::chrono::seconds(10);
    // After this a change is forwarded to the leader again.
    static constexpr duration retry_interval = std::chrono::seconds(1);
    // Changes that may wait at a time; more are rejected as unavailable.
    static constexpr std::size_t max_pending = 1024;

    replicated_document(const replica_settings& settings,
                        durable_state restored, time_point now,
                        seeded_random random, store_limits limits = {},
                        replica_rules rules = {}, store_rules store = {});

    // Must be called once, before any event.
    std::vector<document_effect> start();

    // `now` must not decrease from call to call.
    std::vector<document_effect> handle(time_point now,
                                        const document_event& event);

    // Replaces the other control hosts, which get hello and which the leader
    // may admit.
    void set_peers(std::vector<host_id> peers)
    {
        m_replica.set_peers(std::move(peers));
    }

    // The state that this host has applied; it may be older than the leader's.
    // The status holds its age.
    const document_store& store() const { return m_store; }
    const evacuations& evacuated() const { return m_evacuations; }

    // Whether reads of store() and evacuated() are linearizable.
    bool can_read(time_point now) const { return m_replica.can_read(now); }

    replica_status status(time_point now) const
    {
        return m_replica.status(now);
    }

private:
    // An operation for which a caller on this host, or another host, waits.
    struct pending_operation
    {
        // The requester's number for it.
        std::uint64_t request = 0;
        // Empty if the caller is on this host.
        host_id requester;
        document_change change;
        // Set if this is an evacuation order instead of a document change.
        std::optional<evacuation_change> evacuation{};
        time_point deadline;
        // When it is forwarded to the leader again.
        time_point retry;
        std::uint32_t attempts = 0;
        // Its position in the log; 0 until it has been appended on this host.
        log_index index = 0;
        term_number term = 0;
    };
    // Keyed by the request number of the proposal to the replica.
    using pending_map = std::map<std::uint64_t, pending_operation>;

    void handle_event(const propose_change& event);
    void handle_event(const propose_evacuation& event);
    void handle_event(const propose_membership& event);
    void handle_event(const message_received& event);
    void handle_event(const held_up& event);
    void handle_event(const tick& event);
    void handle_event(const storage_done& event);
    void handle_event(const storage_failed& event);
    void on_forwarded_change(const host_id& from,
                             const forwarded_change& forwarded);
    void on_forwarded_answer(const forwarded_answer& received);

    document_change stamped(document_change change) const;
    // Proposes the change on this host or forwards it to the leader.
    void route(std::uint64_t proposal);
    void forward_to(pending_operation& pending, std::uint64_t proposal,
                    const host_id& leader);
    void complete(std::uint64_t proposal, change_outcome outcome);
    void complete_at(log_index index, term_number term,
                     const change_outcome& outcome);
    void complete_covered(log_index index);
    void send(const host_id& to, message_body body);

    void run_replica(const replica_event& event);
    void handle_effect(const send_message& effect);
    void handle_effect(const persist& effect);
    void handle_effect(const role_changed& effect);
    void handle_effect(const apply_entry& effect);
    change_outcome apply(const log_entry& entry);
    void handle_effect(const install_snapshot& effect);
    void handle_effect(const take_snapshot& effect);
    void handle_effect(const proposal_appended& effect);
    void handle_effect(const proposal_refused& effect);

    host_id m_self;
    replica m_replica;
    document_store m_store;
    evacuations m_evacuations;
    store_limits m_limits;
    pending_map m_pending;
    std::uint64_t m_next_proposal = 1;
    // The membership change that is being proposed.
    std::optional<std::uint64_t> m_membership_proposal;
    std::uint64_t m_membership_request = 0;
    time_point m_now;
    // When this host applied the version in force, or started after that.
    time_point m_applied_at;
    std::vector<document_effect> m_effects;
};

} // namespace crowlink::replication
