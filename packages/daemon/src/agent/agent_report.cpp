#include "agent/agent_report.hpp"

#include "crowlink/requests/answer_reason.hpp"

#include <fmt/format.h>
#include <utility>

namespace crowlink::internal
{

namespace
{

std::string_view to_text(admission_step step)
{
    switch (step)
    {
    case admission_step::queued:
        return "queued";
    case admission_step::started:
        return "started";
    case admission_step::ended:
        return "ended";
    case admission_step::refused:
        return "refused";
    }
    return "unknown";
}

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

void add_belief(const owner_belief& belief, log_line& line)
{
    line.field("owner", belief.owner.agent.to_string())
        .field("owner_sequence", belief.sequence)
        .field("believed_ms", to_ms(belief.age))
        .field("unanswered_ms", to_ms(belief.unanswered))
        .field("silent_members", belief.silent_members)
        .field("evidence", to_string(belief.evidence));
}

} // namespace

metrics to_metrics(const upstream_record& self, const agent_totals& totals)
{
    metrics out;
    const auto add = [&out, &self](std::string_view name, std::uint64_t value)
    {
        out.count(fmt::format("crowlink_agent_{}{{upstream=\"{}\"}}", name,
                              self.id.value()),
                  value);
    };
    const agent_counts& counts = totals.counts;
    add("flows", totals.flows);
    add("redirects", totals.redirects);
    add("load_millionths", totals.load);
    add("service_time_us",
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(
                totals.service_time)
                .count()));
    add("relative_time_permille", totals.relative_time_permille);
    add("packets_delivered_total", counts.delivered);
    add("packets_answered_total", counts.answered);
    add("flows_admitted_total", counts.admitted);
    add("flows_adopted_total", counts.adopted);
    add("flows_closed_total", counts.closed);
    add("flows_handed_off_total", counts.handed_off);
    add("flows_refused_total", counts.refused);
    add("flows_deferred_total", counts.deferred);
    add("packets_redirected_total", counts.redirected);
    add("packets_looked_up_total", counts.looked_up);
    add("packets_diverted_total", counts.diverted);
    add("questions_total", counts.questions);
    add("searches_omitted_total", counts.searches_omitted);
    add("packets_returned_total", counts.returned);
    add("flows_silent_total", counts.silent);
    add("flows_unknown_total", counts.unknown_flows);
    add("searches_incomplete_total", counts.searches_incomplete);
    add("flows_upstream_failed_total", counts.upstream_failed);
    add("flows_upstream_silent_total", counts.upstream_silent);
    add("flows_duplicate_owner_total", counts.duplicate_owners);
    add("flows_idle_closed_total", counts.idle_closed);
    add("packets_wrong_service_total", counts.wrong_service);
    add("packets_wrong_tag_total", counts.wrong_tag);
    add("packets_for_former_life_total", counts.former_incarnation);
    add("packets_too_many_hops_total", counts.too_many_hops);
    add("answers_unknown_total", counts.unknown_answers);
    add("redirects_published_total", counts.redirects_published);
    add("redirects_withdrawn_total", counts.redirects_withdrawn);
    add("redirects_evicted_total", counts.redirects_evicted);
    add("notices_sent_total", counts.notices_sent);
    add("loads_sent_total", counts.loads_sent);
    add("datagrams_undecodable_total", totals.undecodable);
    add("packets_before_upstream_known_total", totals.handed_on);
    add("datagrams_unsent_total", totals.unsent);
    add("payloads_undelivered_total", totals.undelivered);
    add("openings_held", totals.held);
    for (const auto& [priority, openings] : totals.openings)
    {
        const auto add_by_priority =
            [&out, &self, level = priority](std::string_view name,
                                            std::string_view more,
                                            std::uint64_t value)
        {
            out.count(fmt::format("crowlink_agent_openings_{}_total{{"
                                  "upstream=\"{}\",priority=\"{}\"{}}}",
                                  name, self.id.value(), level, more),
                      value);
        };
        add_by_priority("held", "", openings.held);
        add_by_priority("started", "", openings.started);
        add_by_priority("passed_on", "", openings.passed_on);
        add_by_priority("refused", ",reason=\"too_late\"",
                        openings.refused_too_late);
        add_by_priority("refused", ",reason=\"queue_full\"",
                        openings.refused_queue_full);
    }
    return out;
}

log_level level_of(flow_action action)
{
    switch (action)
    {
    case flow_action::redirected:
    case flow_action::looked_up:
    case flow_action::handed_off:
        return log_level::debug;
    default:
        return log_level::info;
    }
}

log_line to_log_line(const upstream_record& self,
                     const passing_request& request)
{
    std::string_view step = request.is_broken_off ? "broken_off" : "delivered";
    if (request.status)
    {
        step = "answered";
    }
    return log_line(log_level::info, "request")
        .field("request", request.id)
        .field("step", step)
        .field("status", request.status.value_or(0))
        .field("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              request.took)
                              .count())
        .field("flow", request.flow.to_string())
        .field("upstream", self.id.value())
        .field("work", request.work);
}

log_line to_log_line(const upstream_record& self, const flow_decision& decision)
{
    log_line line = log_line(level_of(decision.action), "placement")
                        .field("upstream", self.id.value())
                        .field("action", to_string(decision.action))
                        .field("service", decision.service.value())
                        .field("flow", decision.flow.to_string())
                        .field("table", decision.table)
                        .field("chosen", decision.chosen.agent.to_string())
                        .field("load", decision.load)
                        .field("reason", decision.reason);
    if (decision.limit_ms > 0 || decision.expected_ms > 0)
    {
        line.field("expected_ms", decision.expected_ms)
            .field("limit_ms", decision.limit_ms)
            .field("held", decision.held);
    }
    if (decision.belief)
    {
        add_belief(*decision.belief, line);
    }
    return line;
}

log_line to_log_line(const upstream_record& self,
                     const admission_decision& decision)
{
    return log_line(log_level::info, "request")
        .field("upstream", self.id.value())
        .field("step", to_text(decision.step))
        .field("flow", decision.flow.to_string())
        .field("kind", decision.kind)
        .field("reason", to_string(decision.reason));
}

} // namespace crowlink::internal
