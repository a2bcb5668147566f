#include "agent/caller_notice.hpp"

namespace crowlink::internal
{

namespace
{

notice_reason to_notice(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::full:
    case refusal_reason::too_late:
    case refusal_reason::queue_full:
        return notice_reason::overloaded;
    case refusal_reason::leaving:
        return notice_reason::unavailable;
    case refusal_reason::unknown_flow:
    case refusal_reason::duplicate:
        return notice_reason::unknown_flow;
    case refusal_reason::upstream_failed:
        return notice_reason::upstream_gone;
    case refusal_reason::silent:
        return notice_reason::silent;
    }
    return notice_reason::unavailable;
}

} // namespace

notice_datagram to_notice(const flow_key& flow, const flow_refusal& told)
{
    notice_datagram notice;
    notice.flow = flow;
    notice.outcome = told.outcome;
    notice.reason = to_notice(told.reason);
    notice.retry_after =
        std::chrono::ceil<std::chrono::milliseconds>(told.retry_after);
    return notice;
}

} // namespace crowlink::internal
