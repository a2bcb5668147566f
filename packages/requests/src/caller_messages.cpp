#include "crowlink/requests/message_codec.hpp"
#include "message_conversion.hpp"

namespace crowlink
{

namespace
{

using namespace internal;

void write_message(const open_session& from, pb::caller_message& to)
{
    to.mutable_open()->set_secret(from.secret);
}

void write_message(const request_part& from, pb::caller_message& to)
{
    pb::request_part& part = *to.mutable_request();
    write(from.id, *part.mutable_id());
    part.set_attempt(from.attempt);
    write(from.session_ticket, *part.mutable_under());
    part.set_sequence(from.sequence);
    part.set_settled_below(from.settled_below);
    part.set_kind(from.kind);
    part.set_idempotent(from.idempotent);
    part.set_remaining(to_microseconds(from.remaining));
    part.set_part(from.part);
    part.set_parts(from.parts);
    part.set_body(from.body);
}

void write_message(const request_cancel& from, pb::caller_message& to)
{
    pb::request_cancel& cancel = *to.mutable_cancel();
    write(from.id, *cancel.mutable_id());
    cancel.set_attempt(from.attempt);
    write(from.session_ticket, *cancel.mutable_under());
    cancel.set_sequence(from.sequence);
}

result<caller_message> read_request(pb::request_part& from)
{
    if (from.attempt() == 0 || from.sequence() == 0)
    {
        return fail(error_kind::invalid, "request.attempt",
                    "attempts and sequences start at one");
    }
    if (from.parts() == 0 || from.parts() > part_limit ||
        from.part() >= from.parts())
    {
        return fail(
            error_kind::invalid, "request.part",
            "is not below the number of parts or exceeds the part limit");
    }
    if (from.body().size() > part_body_limit)
    {
        return fail(error_kind::invalid, "request.body",
                    "is too long for one part");
    }
    if (from.kind().size() > kind_name_limit)
    {
        return fail(error_kind::invalid, "request.kind",
                    "is too long for the name of a kind");
    }
    request_part part;
    part.id = read(from.id());
    part.attempt = from.attempt();
    part.session_ticket = read(from.under());
    part.sequence = from.sequence();
    part.settled_below = from.settled_below();
    part.kind = std::move(*from.mutable_kind());
    part.idempotent = from.idempotent();
    part.remaining = from_microseconds(from.remaining());
    part.part = from.part();
    part.parts = from.parts();
    part.body = std::move(*from.mutable_body());
    return part;
}

result<caller_message> read_cancel(const pb::request_cancel& from)
{
    if (from.attempt() == 0 || from.sequence() == 0)
    {
        return fail(error_kind::invalid, "cancel.attempt",
                    "attempts and sequences start at one");
    }
    return request_cancel{read(from.id()), from.attempt(), read(from.under()),
                          from.sequence()};
}

} // namespace

std::string encode(const caller_message& message)
{
    pb::caller_message to;
    std::visit([&to](const auto& from) { write_message(from, to); }, message);
    return to.SerializeAsString();
}

result<caller_message> decode_caller_message(std::string_view datagram)
{
    auto from = parse<pb::caller_message>(datagram, "caller_message");
    if (!from)
    {
        return tl::unexpected<error>(from.error());
    }
    switch (from->message_case())
    {
    case pb::caller_message::kOpen:
        return open_session{from->open().secret()};
    case pb::caller_message::kRequest:
        return read_request(*from->mutable_request());
    case pb::caller_message::kCancel:
        return read_cancel(from->cancel());
    default:
        return fail(error_kind::invalid, "caller_message", "is empty");
    }
}

} // namespace crowlink
