#include "api_handlers.hpp"

#include "api_json.hpp"
#include "counters.hpp"
#include "crowlink/document/document_difference.hpp"
#include "http_status.hpp"
#include "request_fields.hpp"

#include <fmt/format.h>

namespace crowlink::internal
{

namespace
{

constexpr const char* json_type = "application/json";
constexpr std::size_t default_history = 50;
constexpr std::size_t max_history = 1000;

void set_json(httplib::Response& response, int status, const ordered_json& body)
{
    response.status = status;
    response.set_content(body.dump() + "\n", json_type);
}

std::string_view name_of(error_kind kind)
{
    return kind == error_kind::storage ? "unavailable" : to_string(kind);
}

} // namespace

int status_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::invalid:
        return http_bad_request;
    case error_kind::conflict:
        return http_conflict;
    case error_kind::not_found:
        return http_not_found;
    case error_kind::forbidden:
        return http_forbidden;
    case error_kind::unavailable:
    case error_kind::storage:
        return http_unavailable;
    }
    return http_unavailable;
}

void set_error(httplib::Response& response, int status, std::string_view name,
               const std::string& message)
{
    set_json(response, status, {{"error", name}, {"message", message}});
    if (status == http_unavailable)
    {
        response.set_header("Retry-After", retry_after_s);
    }
}

template <class Value>
void api_handlers::answer(response_type& response, const result<Value>& value)
{
    if (!value)
    {
        return answer_error(response, value.error());
    }
    set_json(response, http_ok, to_json(*value));
}

void api_handlers::answer_error(response_type& response, const error& fault)
{
    const int status = status_of(fault.kind);
    if (status == http_unavailable)
    {
        m_counts.count(count_unavailable);
    }
    set_error(response, status, name_of(fault.kind),
              crowlink::to_string(fault));
}

void api_handlers::answer_errors(response_type& response,
                                 const document_errors& errors)
{
    m_counts.count(count_invalid);
    auto body = ordered_json::parse(errors.to_json());
    body["error"] = "invalid";
    set_json(response, http_unprocessable, body);
}

// Shows what others changed since the operator's base, where it is still
// known, and what lies between the current document and the operator's.
void api_handlers::answer_conflict(response_type& response,
                                   const change_request& request)
{
    m_counts.count(count_conflicts);
    const auto current = m_backend.document();
    if (!current)
    {
        return answer_error(response, current.error());
    }
    ordered_json body = {
        {"error", "conflict"},
        {"message",
         fmt::format("made from version {}, but the current one "
                     "is {}",
                     request.base.value(), current->version.value())},
        {"version", current->version.value()},
        {"difference", to_json(compare(current->document, request.document))}};
    const auto base = m_backend.document_at(request.base);
    if (base)
    {
        body["changed_since"] =
            to_json(compare(base->document, current->document));
    }
    set_json(response, http_conflict, body);
}

void api_handlers::get_document(const request_type& request,
                                response_type& response)
{
    if (!request.has_param("version"))
    {
        return answer(response, m_backend.document());
    }
    const auto version = parse_number(request.get_param_value("version"));
    if (!version)
    {
        return answer_error(response, {error_kind::invalid, "version",
                                       "must be a whole number"});
    }
    answer(response, m_backend.document_at(config_version(*version)));
}

void api_handlers::get_history(const request_type& request,
                               response_type& response)
{
    std::size_t most = default_history;
    if (request.has_param("most"))
    {
        const auto number = parse_number(request.get_param_value("most"));
        if (!number || *number == 0 || *number > max_history)
        {
            return answer_error(response, {error_kind::invalid, "most",
                                           "must be from 1 to 1000"});
        }
        most = *number;
    }
    answer(response, m_backend.history(most));
}

void api_handlers::get_status(response_type& response)
{
    answer(response, m_backend.status());
}

void api_handlers::get_members(response_type& response)
{
    answer(response, m_backend.members());
}

void api_handlers::get_explain(const request_type& request,
                               response_type& response)
{
    const auto flow = parse_flow(request.get_param_value("flow"));
    if (!flow)
    {
        return answer_error(response, flow.error());
    }
    answer(response, m_backend.explain(*flow));
}

void api_handlers::post_document(const request_type& request,
                                 response_type& response,
                                 const std::string& author)
{
    const auto body =
        parse_body(request.body, {"base_version", "operation_id", "document"});
    if (!body)
    {
        return answer_error(response, body.error());
    }
    const auto base = version_field(*body, "base_version");
    const auto operation = operation_field(*body);
    if (!base || !operation)
    {
        return answer_error(response, base ? operation.error() : base.error());
    }
    const auto document = document_field(*body);
    if (!document)
    {
        return answer_errors(response, document.error());
    }
    const change_request change{*base, *operation, author, *document};
    const auto outcome = m_backend.change(change);
    if (!outcome)
    {
        return answer_error(response, outcome.error());
    }
    if (outcome->status == change_status::conflict)
    {
        return answer_conflict(response, change);
    }
    m_counts.count(count_accepted);
    set_json(response, http_ok, {{"version", outcome->version.value()}});
}

void api_handlers::post_drain(const request_type& request,
                              response_type& response,
                              const std::string& author, drain_action action)
{
    const auto body = parse_body(request.body, {"upstream", "operation_id"});
    if (!body)
    {
        return answer_error(response, body.error());
    }
    const auto upstream = text_field(*body, "upstream");
    const auto operation = operation_field(*body);
    if (!upstream || !operation)
    {
        return answer_error(response,
                            upstream ? operation.error() : upstream.error());
    }
    const auto outcome = change_drain(
        m_backend, {action, upstream_id(*upstream), *operation, author});
    if (!outcome)
    {
        return answer_error(response, outcome.error());
    }
    m_counts.count(count_accepted);
    set_json(response, http_ok, {{"version", outcome->version.value()}});
}

void api_handlers::post_members(const request_type& request,
                                response_type& response,
                                const std::string& author)
{
    const auto body = parse_body(request.body, {"action", "host", "address",
                                                "replaced", "operation_id"});
    if (!body)
    {
        return answer_error(response, body.error());
    }
    const auto change = member_change_of(*body, author);
    if (!change)
    {
        return answer_error(response, change.error());
    }
    answer(response, m_backend.change_members(*change));
}

void api_handlers::get_evacuations(response_type& response)
{
    const auto report = m_backend.status();
    if (!report)
    {
        return answer_error(response, report.error());
    }
    set_json(response, http_ok,
             {{"evacuations", to_json(report->evacuations)}});
}

void api_handlers::post_evacuations(const request_type& request,
                                    response_type& response,
                                    const std::string& author)
{
    const auto body = parse_body(request.body, {"action", "data_centre"});
    if (!body)
    {
        return answer_error(response, body.error());
    }
    const auto where = text_field(*body, "data_centre");
    const auto action = text_field(*body, "action");
    if (!where || !action)
    {
        return answer_error(response, where ? action.error() : where.error());
    }
    if (*action != "start" && *action != "stop")
    {
        return answer_error(response, {error_kind::invalid, "action",
                                       "must be \"start\" or \"stop\""});
    }
    const auto outcome = m_backend.evacuate(
        evacuation_request{place_id(*where), *action == "start", author});
    if (!outcome)
    {
        return answer_error(response, outcome.error());
    }
    m_counts.count(count_accepted);
    get_evacuations(response);
}

void api_handlers::post_preview(const request_type& request,
                                response_type& response)
{
    const auto body = parse_body(request.body, {"base_version", "document"});
    if (!body)
    {
        return answer_error(response, body.error());
    }
    const auto document = document_field(*body);
    if (!document)
    {
        return answer_errors(response, document.error());
    }
    const bool named = body->contains("base_version");
    const auto version = version_field(*body, "base_version");
    if (named && !version)
    {
        return answer_error(response, version.error());
    }
    const auto base =
        named ? m_backend.document_at(*version) : m_backend.document();
    if (!base)
    {
        return answer_error(response, base.error());
    }
    set_json(response, http_ok,
             {{"base_version", base->version.value()},
              {"difference", to_json(compare(base->document, *document))}});
}

} // namespace crowlink::internal
