#include "crowlink/replication/message_codec.hpp"

#include "wire_convert.hpp"

#include <optional>
#include <utility>

namespace crowlink::replication
{

namespace
{

using namespace internal;

void put(const hello& body, wire::Envelope& out)
{
    out.mutable_hello()->set_blank(body.blank);
    out.mutable_hello()->set_may_found(body.may_found);
}

void put(const vote_request& body, wire::Envelope& out)
{
    wire::VoteRequest* to = out.mutable_vote_request();
    to->set_pre_vote(body.pre_vote);
    to->set_last_index(body.last_index);
    to->set_last_term(body.last_term);
    to->set_term(body.term);
}

void put(const vote_reply& body, wire::Envelope& out)
{
    wire::VoteReply* to = out.mutable_vote_reply();
    to->set_pre_vote(body.pre_vote);
    to->set_granted(body.granted);
    to->set_term(body.term);
}

void put(const append_request& body, wire::Envelope& out)
{
    wire::AppendRequest* to = out.mutable_append_request();
    to->set_previous_index(body.previous_index);
    to->set_previous_term(body.previous_term);
    to->set_commit(body.commit);
    for (const log_entry& entry : body.entries)
    {
        *to->add_entries() = to_wire(entry);
    }
    to->set_sent_at(static_cast<std::uint64_t>(body.sent_at));
}

void put(const append_reply& body, wire::Envelope& out)
{
    wire::AppendReply* to = out.mutable_append_reply();
    to->set_accepted(body.accepted);
    to->set_match_index(body.match_index);
    to->set_next_index(body.next_index);
    to->set_sent_at(static_cast<std::uint64_t>(body.sent_at));
}

void put(const snapshot_chunk& body, wire::Envelope& out)
{
    wire::SnapshotChunk* to = out.mutable_snapshot_chunk();
    to->set_index(body.index);
    to->set_term(body.term);
    *to->mutable_membership() = to_wire(body.members);
    to->set_offset(body.offset);
    to->set_total(body.total);
    to->set_data(body.data);
    to->set_sent_at(static_cast<std::uint64_t>(body.sent_at));
}

void put(const snapshot_reply& body, wire::Envelope& out)
{
    wire::SnapshotReply* to = out.mutable_snapshot_reply();
    to->set_index(body.index);
    to->set_next_offset(body.next_offset);
    to->set_sent_at(static_cast<std::uint64_t>(body.sent_at));
}

void put(const forwarded_change& body, wire::Envelope& out)
{
    wire::ForwardedChange* to = out.mutable_forwarded_change();
    to->set_request(body.request);
    *to->mutable_change() = to_wire(body.change);
}

void put(const forwarded_answer& body, wire::Envelope& out)
{
    wire::ForwardedAnswer* to = out.mutable_forwarded_answer();
    to->set_request(body.request);
    to->set_operation(body.operation.value());
    *to->mutable_outcome() = to_wire(body.outcome);
}

void put(const disk_question& body, wire::Envelope& out)
{
    out.mutable_disk_question()->set_number(body.number);
}

void put(const disk_answer& body, wire::Envelope& out)
{
    out.mutable_disk_answer()->set_number(body.number);
    out.mutable_disk_answer()->set_blank(body.blank);
}

void put(const founding_ballot& ballot, wire::FoundingBallot& out)
{
    out.set_round(ballot.round);
    out.set_proposer(ballot.proposer.value());
    out.set_life(ballot.life);
}

founding_ballot get(const wire::FoundingBallot& in)
{
    return founding_ballot{in.round(), host_id(in.proposer()), in.life()};
}

void put(const founding_request& body, wire::Envelope& out)
{
    wire::FoundingRequest* to = out.mutable_founding_request();
    to->set_phase(static_cast<wire::FoundingPhase>(body.phase));
    put(body.ballot, *to->mutable_ballot());
    *to->mutable_voters() = to_wire(body.voters);
}

void put(const founding_reply& body, wire::Envelope& out)
{
    wire::FoundingReply* to = out.mutable_founding_reply();
    to->set_phase(static_cast<wire::FoundingPhase>(body.phase));
    put(body.ballot, *to->mutable_ballot());
    put(body.promised, *to->mutable_promised());
    put(body.accepted, *to->mutable_accepted());
    *to->mutable_voters() = to_wire(body.voters);
}

message_body get(const wire::FoundingRequest& in)
{
    return founding_request{static_cast<founding_phase>(in.phase()),
                            get(in.ballot()), from_wire(in.voters())};
}

message_body get(const wire::FoundingReply& in)
{
    return founding_reply{static_cast<founding_phase>(in.phase()),
                          get(in.ballot()), get(in.promised()),
                          get(in.accepted()), from_wire(in.voters())};
}

message_body get(wire::AppendRequest& in)
{
    append_request body{in.previous_index(),
                        in.previous_term(),
                        in.commit(),
                        {},
                        static_cast<std::int64_t>(in.sent_at())};
    for (wire::LogEntry& entry : *in.mutable_entries())
    {
        body.entries.push_back(from_wire(std::move(entry)));
    }
    return body;
}

message_body get(wire::SnapshotChunk& in)
{
    return snapshot_chunk{in.index(),
                          in.term(),
                          from_wire(in.membership()),
                          in.offset(),
                          in.total(),
                          std::move(*in.mutable_data()),
                          static_cast<std::int64_t>(in.sent_at())};
}

// Takes the payloads out of the message.
std::optional<message_body> get_body(wire::Envelope& in)
{
    switch (in.body_case())
    {
    case wire::Envelope::kHello:
        return hello{in.hello().blank(), in.hello().may_found()};
    case wire::Envelope::kVoteRequest:
        return vote_request{
            in.vote_request().pre_vote(), in.vote_request().last_index(),
            in.vote_request().last_term(), in.vote_request().term()};
    case wire::Envelope::kVoteReply:
        return vote_reply{in.vote_reply().pre_vote(), in.vote_reply().granted(),
                          in.vote_reply().term()};
    case wire::Envelope::kAppendRequest:
        return get(*in.mutable_append_request());
    case wire::Envelope::kAppendReply:
        return append_reply{
            in.append_reply().accepted(), in.append_reply().match_index(),
            in.append_reply().next_index(),
            static_cast<std::int64_t>(in.append_reply().sent_at())};
    case wire::Envelope::kSnapshotChunk:
        return get(*in.mutable_snapshot_chunk());
    case wire::Envelope::kSnapshotReply:
        return snapshot_reply{
            in.snapshot_reply().index(), in.snapshot_reply().next_offset(),
            static_cast<std::int64_t>(in.snapshot_reply().sent_at())};
    case wire::Envelope::kForwardedChange:
        return forwarded_change{
            in.forwarded_change().request(),
            from_wire(
                std::move(*in.mutable_forwarded_change()->mutable_change()))};
    case wire::Envelope::kForwardedAnswer:
        return forwarded_answer{in.forwarded_answer().request(),
                                operation_id(in.forwarded_answer().operation()),
                                from_wire(in.forwarded_answer().outcome())};
    case wire::Envelope::kDiskQuestion:
        return disk_question{in.disk_question().number()};
    case wire::Envelope::kDiskAnswer:
        return disk_answer{in.disk_answer().number(), in.disk_answer().blank()};
    case wire::Envelope::kFoundingRequest:
        return get(in.founding_request());
    case wire::Envelope::kFoundingReply:
        return get(in.founding_reply());
    case wire::Envelope::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::string encode_message(const replica_message& message)
{
    wire::Envelope out;
    out.set_from(message.from.value());
    out.set_from_disk(message.from_disk.value());
    out.set_to(message.to.value());
    out.set_to_disk(message.to_disk.value());
    out.set_cluster(message.cluster);
    out.set_term(message.term);
    std::visit([&out](const auto& body) { put(body, out); }, message.body);
    return out.SerializeAsString();
}

result<replica_message> decode_message(std::string_view bytes)
{
    wire::Envelope in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return fail(error_kind::invalid, "replica message", "does not parse");
    }
    std::optional<message_body> body = get_body(in);
    if (in.from().empty() || !body)
    {
        return fail(error_kind::invalid, "replica message",
                    "has no sender or no body");
    }
    return replica_message{host_id(in.from()), disk_id(in.from_disk()),
                           host_id(in.to()),   disk_id(in.to_disk()),
                           in.cluster(),       in.term(),
                           *std::move(body)};
}

} // namespace crowlink::replication
