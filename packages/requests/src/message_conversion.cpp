#include "message_conversion.hpp"

#include "crowlink/requests/message_codec.hpp"

#include <algorithm>

namespace crowlink::internal
{

std::uint64_t to_microseconds(duration value)
{
    using std::chrono::microseconds;
    const auto whole = std::chrono::duration_cast<microseconds>(value).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, whole));
}

duration from_microseconds(std::uint64_t value)
{
    const std::uint64_t limit = to_microseconds(remaining_limit);
    return std::chrono::microseconds(std::min(value, limit));
}

void write(const request_id& from, pb::request_id& to)
{
    to.set_caller(from.caller);
    to.set_number(from.number);
}

request_id read(const pb::request_id& from)
{
    return request_id{from.caller(), from.number()};
}

void write(const ticket& from, pb::ticket& to)
{
    to.set_incarnation(from.issued_by.value());
    to.set_session(from.session);
    to.set_secret(from.secret);
}

ticket read(const pb::ticket& from)
{
    return ticket{incarnation(from.incarnation()), from.session(),
                  from.secret()};
}

void write(const run_id& from, pb::run_id& to)
{
    to.set_incarnation(from.agent.value());
    to.set_number(from.number);
}

run_id read(const pb::run_id& from)
{
    return run_id{incarnation(from.incarnation()), from.number()};
}

pb::verdict to_wire(verdict from)
{
    switch (from)
    {
    case verdict::not_run:
        return pb::NOT_RUN;
    case verdict::ran:
        return pb::RAN;
    case verdict::may_have_run:
        return pb::MAY_HAVE_RUN;
    }
    return pb::MAY_HAVE_RUN;
}

result<verdict> read_verdict(pb::verdict from, std::string_view where)
{
    switch (from)
    {
    case pb::NOT_RUN:
        return verdict::not_run;
    case pb::RAN:
        return verdict::ran;
    case pb::MAY_HAVE_RUN:
        return verdict::may_have_run;
    default:
        return fail(error_kind::invalid, std::string(where),
                    "is no known verdict");
    }
}

} // namespace crowlink::internal
