#include "crowlink/requests/answer_reason.hpp"

namespace crowlink
{

std::string_view to_string(answer_reason reason)
{
    switch (reason)
    {
    case answer_reason::answered:
        return "answered";
    case answer_reason::overloaded:
        return "overloaded";
    case answer_reason::expired:
        return "expired";
    case answer_reason::cancelled:
        return "cancelled";
    case answer_reason::stale_ticket:
        return "stale_ticket";
    case answer_reason::wrong_kind:
        return "wrong_kind";
    case answer_reason::upstream_lost:
        return "upstream_lost";
    case answer_reason::upstream_refused:
        return "upstream_refused";
    case answer_reason::answer_lost:
        return "answer_lost";
    case answer_reason::unreachable:
        return "unreachable";
    case answer_reason::too_large:
        return "too_large";
    case answer_reason::draining:
        return "draining";
    }
    return "unknown";
}

} // namespace crowlink
