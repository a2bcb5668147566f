#pragma once

#include "log_buffer.hpp"
#include "membership_history.hpp"
#include "peer_progress.hpp"
#include "persist_queue.hpp"

#include "crowlink/base/random.hpp"
#include "crowlink/replication/durable_state.hpp"
#include "crowlink/replication/founding_acceptor.hpp"
#include "crowlink/replication/founding_proposer.hpp"
#include "crowlink/replication/replica_effect.hpp"
#include "crowlink/replication/replica_event.hpp"
#include "crowlink/replication/replica_rules.hpp"
#include "crowlink/replication/replica_settings.hpp"
#include "crowlink/replication/replica_status.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crowlink::replication::internal
{

// The implementation of replica. A comment above each group of functions names
// the file that defines them.
class replica_core
{
public:
    replica_core(replica_settings settings, durable_state restored,
                 time_point now, seeded_random random, replica_rules rules);

    std::vector<replica_effect> start();
    std::vector<replica_effect> handle(time_point now,
                                       const replica_event& event);
    void set_peers(std::vector<host_id> peers)
    {
        m_settings.peers = std::move(peers);
    }
    bool can_read(time_point now) const;
    replica_status status(time_point now) const;

private:
    // A time in which this host handled nothing.
    struct pause
    {
        time_point end;
        duration length{};
    };

    // A host that sent hello.
    struct non_member
    {
        disk_id disk;
        bool blank = false;
        bool may_found = false;
        time_point seen;
    };

    // A question to the leader of a term whether it has lost its disk.
    struct pending_question
    {
        std::uint64_t number = 0;
        term_number term = 0;
        time_point sent;
    };

    // A snapshot that is being received.
    struct incoming_snapshot
    {
        log_index index = 0;
        term_number term = 0;
        std::uint64_t total = 0;
        std::string data;
    };

    // replica_core.cpp: dispatch, persistence and functions common to all
    // roles.
    void handle_event(const message_received& event);
    void handle_event(const held_up& event);
    void handle_event(const tick& event);
    void handle_event(const propose& event);
    void handle_event(const propose_membership& event);
    void handle_event(const storage_done& event);
    void handle_event(const storage_failed& event);
    void handle_event(const snapshot_taken& event);
    bool is_addressed_here(const replica_message& message) const;
    void adopt_cluster(const replica_message& message);
    duration paused_since(time_point since) const;
    void flush();
    void send(const host_id& to, disk_id to_disk, message_body body);
    void send_when_durable(const host_id& to, disk_id to_disk,
                           message_body body);
    void apply_committed();
    void maybe_take_snapshot();
    void append_entry(log_entry entry);
    void truncate_from(log_index index);
    void change_role(replica_role role, const host_id& leader,
                     std::string reason);
    const membership& members() const { return m_memberships.current(); }
    bool is_voter() const;
    bool may_campaign() const;
    bool is_blank() const;

    // replica_election.cpp: role changes, votes and the end of leases.
    void become_follower(term_number term, const host_id& leader,
                         std::string reason);
    void reset_election_timer();
    void campaign();
    void start_election();
    void request_votes(bool pre_vote);
    void count_votes();
    void become_leader();
    bool is_vote_durable() const;
    bool is_election_open() const;
    bool waits_for_votes() const;
    void wait_for_outcome();
    bool has_leader_contact() const;
    void detect_end_of_lease(const replica_message& message, bool pre_vote);
    void stop_waiting_for_lease(std::string reason);
    bool waits_for_lease() const;
    void send_disk_question();
    void on(const replica_message& message, const disk_question& body);
    void on(const replica_message& message, const disk_answer& body);
    bool is_up_to_date(const vote_request& request) const;
    void on(const replica_message& message, const vote_request& body);
    void on(const replica_message& message, const vote_reply& body);
    void on_pre_vote(const replica_message& message, const vote_request& body);
    void on_vote(const replica_message& message, const vote_request& body);

    // replica_follow.cpp: handling of the leader's messages.
    bool accept_leader(const replica_message& message);
    void on(const replica_message& message, const append_request& body);
    void on(const replica_message& message, const snapshot_chunk& body);
    bool merge_entries(const append_request& body);
    void reject(const replica_message& message, const append_request& body);
    void reply_to_leader(std::int64_t sent_at);
    void reply_when_durable(std::int64_t sent_at);
    void advance_follower_commit(log_index commit);
    bool holds_all_committed() const;
    void install_received(const snapshot_chunk& body);

    // replica_lead.cpp: replication, commit index and lease of a leader.
    void on(const replica_message& message, const append_reply& body);
    void on(const replica_message& message, const snapshot_reply& body);
    peer_progress* find_peer(const replica_message& message);
    void record_contact(peer_progress& peer, std::int64_t sent_at);
    void leader_tick();
    bool holds_up_quorum() const;
    void replicate(const host_id& host, peer_progress& peer);
    void send_entries(const host_id& host, peer_progress& peer,
                      bool with_entries);
    void send_chunk(const host_id& host, peer_progress& peer);
    void replicate_all();
    void advance_commit();
    std::optional<time_point> quorum_contact(time_point now) const;
    bool lease_holds(time_point now) const;
    std::optional<error> proposal_error(std::size_t payload_size) const;

    // replica_members.cpp: membership, bootstrap, hosts that are not members.
    void on(const replica_message& message, const hello& body);
    void on(const replica_message& message, const forwarded_change& body);
    void on(const replica_message& message, const forwarded_answer& body);
    bool is_recent(const non_member& seen) const;
    hello own_hello() const;
    void send_hello();
    void send_hello_to_non_members();
    void bootstrap_log();
    void admit_observer();
    void erase_admitted_from_non_members();
    result<membership> changed_members(const member_change& change) const;
    result<disk_id> admitted_disk(const member_change& change) const;
    std::optional<error> membership_error(const membership& changed) const;
    void append_membership(const membership& changed);
    void promote_joining(const host_id& host, const peer_progress& peer);
    void update_peers();
    bool can_change_membership() const;

    // replica_founding.cpp: the choice of the initial voters by the seeds.
    void on(const replica_message& message, const founding_request& body);
    void on(const replica_message& message, const founding_reply& body);
    std::vector<member> founding_candidates() const;
    bool knows_of_a_log() const;
    void propose_voters();
    void ask_seeds(const founding_request& request);
    void tell_voters(const membership& voters);
    void found_with(const membership& voters);
    void write_first_entry(const membership& voters, std::uint64_t cluster);

    replica_settings m_settings;
    replica_rules m_rules;
    seeded_random m_random;
    disk_id m_disk;
    time_point m_now;

    replica_role m_role = replica_role::follower;
    hard_state m_state;
    host_id m_leader;
    // The last contact with a leader. Initially the time of the start, because
    // a lease that was confirmed before the restart is not recorded.
    time_point m_leader_contact;
    // The last time at which this host held all entries that the leader had
    // committed.
    time_point m_up_to_date_at;
    time_point m_election_deadline;
    // How long this host did not run of late; oldest first.
    std::deque<pause> m_pauses;

    log_buffer m_log;
    membership_history m_memberships;
    std::optional<snapshot> m_snapshot;
    persist_queue m_queue;
    log_index m_applied = 0;
    std::size_t m_applied_bytes = 0;
    bool m_snapshot_requested = false;
    std::string m_storage_error;

    // As a follower: the last entry known to match the leader's log, and the
    // commit index that the leader announced.
    log_index m_match_index = 0;
    log_index m_leader_commit = 0;
    // When the leader of this term last announced its commit index.
    std::optional<time_point> m_leader_commit_at;
    std::optional<std::int64_t> m_deferred_reply;
    std::optional<incoming_snapshot> m_incoming_snapshot;

    // As a candidate.
    std::set<host_id> m_votes;
    std::set<host_id> m_refusals;
    std::uint64_t m_campaign_sequence = 0;

    // When this host voted in the present term; empty once the vote is durable.
    std::optional<time_point> m_voted_at;
    // Until then the candidate that got the vote of this host may still win.
    time_point m_election_open_until{};

    // As the leader.
    std::map<host_id, peer_progress> m_peers;
    log_index m_term_start = 0;
    time_point m_leader_since;
    std::size_t m_uncommitted_bytes = 0;

    std::optional<pending_question> m_pending_question;

    std::map<host_id, non_member> m_non_members;
    founding_acceptor m_acceptor;
    std::optional<founding_proposer> m_proposer;
    std::optional<time_point> m_hello_sent;
    std::vector<replica_effect> m_effects;
};

} // namespace crowlink::replication::internal
