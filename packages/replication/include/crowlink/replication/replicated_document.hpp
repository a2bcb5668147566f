#pragma once

#include "crowlink/replication/document_store.hpp"
#include "crowlink/replication/replica.hpp"
#include "crowlink/replication/replicated_document_event.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
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

    // What this host has applied; it may be older than what the leader has. Its
    // age is in the status.
    const document_store& store() const { return m_store; }

    // Whether store() is the newest there is.
    bool can_read(time_point now) const { return m_replica.can_read(now); }

    replica_status status(time_point now) const
    {
        return m_replica.status(now);
    }

private:
    // Who waits for a change: a caller on this host, or another host.
    struct waiting_change
    {
        std::uint64_t request = 0;
        host_id asker;
        disk_id asker_disk;
        document_change change;
        time_point deadline;
        // Where it is in the log; 0 until it has been appended here.
        log_index index = 0;
        term_number term = 0;
        bool forwarded = false;
    };
    using waiting_map = std::map<std::uint64_t, waiting_change>;

    void take(const propose_change& event);
    void take(const propose_membership& event);
    void take(const message_received& event);
    void take(const tick& event);
    template <class Event>
    void take(const Event& event);
    void take_forwarded(const replica_message& message,
                        const forwarded_change& forwarded);
    void take_answer(const forwarded_answer& answer);
    void accept(waiting_change waiting);
    void forward(waiting_change waiting, const host_id& leader);
    void answer(const waiting_change& waiting, change_outcome outcome);
    void answer_at(log_index index, term_number term,
                   const change_outcome& outcome);
    void expire();
    void send(const host_id& to, disk_id to_disk, message_body body);

    void run(const replica_event& event);
    void absorb(std::vector<replica_effect> effects);
    void absorb_one(const apply_entry& effect);
    void absorb_one(const install_snapshot& effect);
    void absorb_one(const take_snapshot& effect);
    void absorb_one(const proposal_appended& effect);
    void absorb_one(const proposal_refused& effect);
    template <class Effect>
    void absorb_one(const Effect& effect);

    host_id m_self;
    replica m_replica;
    document_store m_store;
    waiting_map m_waiting;
    std::uint64_t m_next_ticket = 1;
    time_point m_now;
    std::vector<document_effect> m_effects;
};

} // namespace crowlink::replication
