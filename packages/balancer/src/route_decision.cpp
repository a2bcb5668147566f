#include "crowlink/balancer/route_decision.hpp"

#include "crowlink/base/log_line.hpp"

#include <string>

namespace crowlink
{

namespace
{

std::string to_string(const candidate_chain& chain)
{
    std::string text;
    for (const candidate& next : chain)
    {
        text += text.empty() ? "" : ",";
        text += next.agent.to_string();
    }
    return text;
}

bool is_forwarded(route_reason reason)
{
    return reason == route_reason::head_of_chain ||
           reason == route_reason::previous_chain;
}

} // namespace

std::string_view to_string(route_reason reason)
{
    switch (reason)
    {
    case route_reason::head_of_chain:
        return "head_of_chain";
    case route_reason::previous_chain:
        return "previous_chain";
    case route_reason::no_service:
        return "no_service";
    case route_reason::no_candidate:
        return "no_candidate";
    }
    return "unknown";
}

log_line to_log_line(const route_decision& decision)
{
    const bool is_sent = is_forwarded(decision.reason);
    const log_level level = is_sent ? log_level::debug : log_level::warning;
    return log_line(level, "route")
        .field("flow", decision.flow.to_string())
        .field("service", decision.service.value())
        .field("table", fmt::format("{:016x}", decision.table))
        .field("chain", to_string(decision.current))
        .field("previous", to_string(decision.previous))
        .field("chosen", is_sent ? decision.chosen.agent.to_string() : "")
        .field("reason", to_string(decision.reason));
}

} // namespace crowlink
