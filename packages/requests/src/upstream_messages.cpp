#include "crowlink/requests/message_codec.hpp"
#include "message_conversion.hpp"

namespace crowlink
{

namespace
{

using namespace internal;

void write_message(const upstream_run& from, pb::upstream_command& to)
{
    pb::upstream_run& run = *to.mutable_run();
    write(from.id, *run.mutable_id());
    run.set_kind(from.kind);
    run.set_remaining(to_microseconds(from.remaining));
    run.set_body(from.body);
}

void write_message(const upstream_cancel& from, pb::upstream_command& to)
{
    write(from.id, *to.mutable_cancel()->mutable_id());
}

result<upstream_command> read_run(pb::upstream_run& from)
{
    if (from.kind().size() > kind_name_limit || from.body().size() > body_limit)
    {
        return fail(error_kind::invalid, "run",
                    "has a kind or body that is too long");
    }
    return upstream_run{read(from.id()), std::move(*from.mutable_kind()),
                        from_microseconds(from.remaining()),
                        std::move(*from.mutable_body())};
}

} // namespace

std::string encode(const upstream_command& message)
{
    pb::upstream_command to;
    std::visit([&to](const auto& from) { write_message(from, to); }, message);
    return to.SerializeAsString();
}

std::string encode(const upstream_answer& message)
{
    pb::upstream_answer to;
    write(message.id, *to.mutable_id());
    to.set_outcome(to_wire(message.outcome));
    to.set_retry_after(to_microseconds(message.retry_after));
    to.set_body(message.body);
    return to.SerializeAsString();
}

result<upstream_command> decode_upstream_command(std::string_view datagram)
{
    auto from = parse<pb::upstream_command>(datagram, "upstream_command");
    if (!from)
    {
        return tl::unexpected<error>(from.error());
    }
    switch (from->message_case())
    {
    case pb::upstream_command::kRun:
        return read_run(*from->mutable_run());
    case pb::upstream_command::kCancel:
        return upstream_cancel{read(from->cancel().id())};
    default:
        return fail(error_kind::invalid, "upstream_command", "is empty");
    }
}

result<upstream_answer> decode_upstream_answer(std::string_view datagram)
{
    auto from = parse<pb::upstream_answer>(datagram, "upstream_answer");
    if (!from)
    {
        return tl::unexpected<error>(from.error());
    }
    const auto outcome = read_verdict(from->outcome(), "upstream_answer");
    if (!outcome)
    {
        return tl::unexpected<error>(outcome.error());
    }
    if (from->body().size() > body_limit)
    {
        return fail(error_kind::invalid, "upstream_answer",
                    "has a body that is too long");
    }
    return upstream_answer{read(from->id()), *outcome,
                           from_microseconds(from->retry_after()),
                           std::move(*from->mutable_body())};
}

} // namespace crowlink
