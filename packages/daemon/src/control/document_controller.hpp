#pragma once

#include "control/blackboard.hpp"
#include "control/control_links.hpp"
#include "control/document_thread.hpp"
#include "control/storage_thread.hpp"
#include "crowlink/base/latency_histogram.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/replication/replicated_document.hpp"
#include "crowlink/replication/voter_policy.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace crowlink::internal
{

// Binds the replicated document to links and storage, and puts the version in
// force on the blackboard.
class document_controller
{
public:
    using change_reply =
        std::function<void(const replication::change_outcome&)>;
    using member_reply = std::function<void(const result<void>&)>;

    document_controller(const daemon_settings& settings,
                        storage_thread& storage, document_thread& reader,
                        control_links& links, log_sink& log,
                        seeded_random random, time_point now);

    // To be called once, before the others.
    void start(time_point now, blackboard& board);

    void handle(time_point now, const inbound_message& message,
                blackboard& board);
    // Takes completions of storage, documents that were read, and time.
    void advance(time_point now, blackboard& board);

    // The reply comes later, from the control thread, exactly once.
    void change(time_point now, const replication::document_change& change,
                change_reply reply, blackboard& board);
    void order_evacuation(time_point now,
                          const replication::evacuation_change& change,
                          change_reply reply, blackboard& board);
    void change_members(time_point now,
                        const replication::member_change& change,
                        member_reply reply, blackboard& board);

    // Gives the newest document once it is read here, or an error:
    // `unavailable` where this host can't be sure which one is the newest. The
    // reply comes from the control thread, exactly once.
    using document_reply = std::function<void(const result<applied_document>&)>;
    void newest_document(time_point now, document_reply reply,
                         const blackboard& board);

    const replication::replicated_document& core() const { return m_core; }
    bool has_failed() const { return m_failed; }
    // How long the writes of the log took.
    const latency_histogram& write_times() const { return m_write_times; }
    // How long it took to read the documents that were put in force.
    const latency_histogram& read_times() const { return m_read_times; }

private:
    using effects = std::vector<replication::document_effect>;

    // A committed version, and since when it is.
    struct unread_version
    {
        config_version version;
        time_point since;
    };

    // A caller that waits for a version to be read, or a later one.
    struct waiting_caller
    {
        config_version version;
        document_reply reply;
    };

    void answer_waiting(config_version version,
                        const result<applied_document>& found);
    void note_pause(time_point now, blackboard& board);
    void take_writes(time_point now, blackboard& board);
    void take_documents(blackboard& board);
    void note_write(duration took);
    duration document_lag(time_point now) const;
    void follow_members(const replication::replica_status& status,
                        blackboard& board);
    void keep_voters(time_point now, const replication::replica_status& status,
                     blackboard& board);
    void carry_out(const effects& wanted, blackboard& board);
    void carry_out_one(const replication::send_message& effect,
                       blackboard& board);
    void carry_out_one(const replication::persist& effect, blackboard& board);
    void carry_out_one(const replication::role_changed& effect,
                       blackboard& board);
    void carry_out_one(const replication::change_answered& effect,
                       blackboard& board);
    void carry_out_one(const replication::membership_answered& effect,
                       blackboard& board);
    void carry_out_one(const replication::version_applied& effect,
                       blackboard& board);
    void carry_out_one(const replication::evacuations_applied& effect,
                       blackboard& board);

    storage_thread& m_storage;
    document_thread& m_reader;
    control_links& m_links;
    log_sink& m_log;
    replication::replicated_document m_core;
    // Writes that take an election timeout delay elections and changes.
    duration m_slow_write;
    latency_histogram m_write_times;
    latency_histogram m_read_times;
    // The newest version that was given to the reader.
    config_version m_wanted_version;
    std::vector<waiting_caller> m_waiting;
    time_point m_now{};
    std::optional<time_point> m_last_round;
    // Committed versions that are newer than the last one that was read, oldest
    // first.
    std::deque<unread_version> m_unread;
    // Whether hellos may come from others than their senders: nobody else can
    // reach this network.
    bool m_takes_relayed = false;
    // Empty where operators alone decide who votes.
    std::optional<replication::voter_policy> m_voters;
    time_point m_next_policy{};
    board_reader<std::vector<host_id>> m_seeds;
    std::uint64_t m_next_request = 1;
    std::map<std::uint64_t, change_reply> m_changes;
    std::map<std::uint64_t, member_reply> m_member_changes;
    bool m_failed = false;
};

} // namespace crowlink::internal
