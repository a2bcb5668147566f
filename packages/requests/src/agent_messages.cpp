#include "crowlink/requests/message_codec.hpp"
#include "message_conversion.hpp"

namespace crowlink
{

namespace
{

using namespace internal;

void write_message(const session_opened& from, pb::agent_message& to)
{
    pb::session_opened& opened = *to.mutable_opened();
    opened.set_secret(from.secret);
    if (from.granted)
    {
        write(*from.granted, *opened.mutable_granted());
    }
    opened.set_retry_after(to_microseconds(from.retry_after));
    opened.set_draining(from.draining);
}

void write_message(const answer_part& from, pb::agent_message& to)
{
    pb::answer_part& part = *to.mutable_answer();
    write(from.id, *part.mutable_id());
    part.set_attempt(from.attempt);
    part.set_outcome(to_wire(from.outcome));
    part.set_reason(static_cast<std::uint32_t>(from.reason));
    part.set_retry_after(to_microseconds(from.retry_after));
    part.set_part(from.part);
    part.set_parts(from.parts);
    part.set_body(from.body);
}

session_opened read_opened(const pb::session_opened& from)
{
    session_opened opened;
    opened.secret = from.secret();
    if (from.has_granted())
    {
        opened.granted = read(from.granted());
    }
    opened.retry_after = from_microseconds(from.retry_after());
    opened.draining = from.draining();
    return opened;
}

result<agent_message> read_answer(pb::answer_part& from)
{
    const auto outcome = read_verdict(from.outcome(), "answer.outcome");
    if (!outcome)
    {
        return tl::unexpected<error>(outcome.error());
    }
    if (from.reason() > static_cast<std::uint32_t>(last_answer_reason))
    {
        return fail(error_kind::invalid, "answer.reason", "is no known reason");
    }
    if (from.parts() == 0 || from.parts() > part_limit ||
        from.part() >= from.parts())
    {
        return fail(
            error_kind::invalid, "answer.part",
            "is not below the number of parts or exceeds the part limit");
    }
    if (from.body().size() > part_body_limit)
    {
        return fail(error_kind::invalid, "answer.body",
                    "is too long for one part");
    }
    answer_part part;
    part.id = read(from.id());
    part.attempt = from.attempt();
    part.outcome = *outcome;
    part.reason = static_cast<answer_reason>(from.reason());
    part.retry_after = from_microseconds(from.retry_after());
    part.part = from.part();
    part.parts = from.parts();
    part.body = std::move(*from.mutable_body());
    return part;
}

} // namespace

std::string encode(const agent_message& message)
{
    pb::agent_message to;
    std::visit([&to](const auto& from) { write_message(from, to); }, message);
    return to.SerializeAsString();
}

result<agent_message> decode_agent_message(std::string_view datagram)
{
    auto from = parse<pb::agent_message>(datagram, "agent_message");
    if (!from)
    {
        return tl::unexpected<error>(from.error());
    }
    switch (from->message_case())
    {
    case pb::agent_message::kOpened:
        return read_opened(from->opened());
    case pb::agent_message::kAnswer:
        return read_answer(*from->mutable_answer());
    default:
        return fail(error_kind::invalid, "agent_message", "is empty");
    }
}

} // namespace crowlink
