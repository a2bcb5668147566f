#pragma once

#include "control/blackboard.hpp"
#include "control/control_links.hpp"
#include "control/storage_thread.hpp"
#include "crowlink/base/latency_histogram.hpp"
#include "crowlink/base/log_sink.hpp"
#include "crowlink/replication/replicated_document.hpp"
#include "crowlink/replication/voter_policy.hpp"

#include <cstdint>
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
                        storage_thread& storage, control_links& links,
                        log_sink& log, seeded_random random, time_point now);

    // To be called once, before the others.
    void start(time_point now, blackboard& board);

    void handle(time_point now, const inbound_message& message,
                blackboard& board);
    // Takes completions of storage, and time.
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

    const replication::replicated_document& core() const { return m_core; }
    bool has_failed() const { return m_failed; }
    // How long the writes of the log took.
    const latency_histogram& write_times() const { return m_write_times; }

private:
    using effects = std::vector<replication::document_effect>;

    void note_write(duration took);
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
    control_links& m_links;
    log_sink& m_log;
    replication::replicated_document m_core;
    // Writes that take an election timeout delay elections and changes.
    duration m_slow_write;
    latency_histogram m_write_times;
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
