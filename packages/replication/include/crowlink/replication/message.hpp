#pragma once

#include "crowlink/replication/change_outcome.hpp"
#include "crowlink/replication/document_change.hpp"
#include "crowlink/replication/founding_reply.hpp"
#include "crowlink/replication/founding_request.hpp"
#include "crowlink/replication/log_entry.hpp"
#include "crowlink/replication/member.hpp"
#include "crowlink/replication/membership.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace crowlink::replication
{

// The bodies of the messages between replicas. Their fields are described in
// the wire package's replication.proto.

// Sent by a host that is not a member, so that it can be admitted, and by
// members to hosts that are not.
struct hello
{
    bool blank = false;
    // It takes part in the first start of all hosts.
    bool may_found = false;

    friend auto operator<=>(const hello&, const hello&) = default;
};

struct vote_request
{
    bool pre_vote = false;
    log_index last_index = 0;
    term_number last_term = 0;
    term_number term = 0;

    friend auto operator<=>(const vote_request&, const vote_request&) = default;
};

struct vote_reply
{
    bool pre_vote = false;
    bool granted = false;
    term_number term = 0;

    friend auto operator<=>(const vote_reply&, const vote_reply&) = default;
};

struct append_request
{
    log_index previous_index = 0;
    term_number previous_term = 0;
    log_index commit = 0;
    std::vector<log_entry> entries;
    std::int64_t sent_at = 0;

    friend auto operator<=>(const append_request&,
                            const append_request&) = default;
};

struct append_reply
{
    bool accepted = false;
    log_index match_index = 0;
    log_index next_index = 0;
    std::int64_t sent_at = 0;

    friend auto operator<=>(const append_reply&, const append_reply&) = default;
};

struct snapshot_chunk
{
    log_index index = 0;
    term_number term = 0;
    membership members;
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::string data;
    std::int64_t sent_at = 0;

    friend auto operator<=>(const snapshot_chunk&,
                            const snapshot_chunk&) = default;
};

struct snapshot_reply
{
    log_index index = 0;
    std::uint64_t next_offset = 0;
    std::int64_t sent_at = 0;

    friend auto operator<=>(const snapshot_reply&,
                            const snapshot_reply&) = default;
};

// A document change that is forwarded to the leader.
struct forwarded_change
{
    std::uint64_t request = 0;
    document_change change;

    friend auto operator<=>(const forwarded_change&,
                            const forwarded_change&) = default;
};

struct forwarded_answer
{
    std::uint64_t request = 0;
    operation_id operation;
    change_outcome outcome;

    friend auto operator<=>(const forwarded_answer&,
                            const forwarded_answer&) = default;
};

// Asks a leader whose lease may still hold whether it restarted with an empty
// disk.
struct disk_question
{
    // Chosen at random by the sender.
    std::uint64_t number = 0;

    friend auto operator<=>(const disk_question&,
                            const disk_question&) = default;
};

struct disk_answer
{
    // Copied from the question, which proves that the answer was given after
    // it.
    std::uint64_t number = 0;
    // True if this process has no state, and therefore has led no term.
    bool blank = false;

    friend auto operator<=>(const disk_answer&, const disk_answer&) = default;
};

using message_body =
    std::variant<hello, vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, forwarded_change,
                 forwarded_answer, disk_question, disk_answer, founding_request,
                 founding_reply>;

// One message between two control hosts.
struct replica_message
{
    host_id from;
    disk_id from_disk;
    host_id to;
    // The disk that the sender expects the receiver to have; 0 if unknown.
    disk_id to_disk;
    // Chosen when the log was bootstrapped; 0 before.
    std::uint64_t cluster = 0;
    // The term of the sender.
    term_number term = 0;
    message_body body;

    friend auto operator<=>(const replica_message&,
                            const replica_message&) = default;
};

} // namespace crowlink::replication
