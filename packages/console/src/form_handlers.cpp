#include "form_handlers.hpp"

#include "counters.hpp"
#include "crowlink/console/mint_operation_id.hpp"
#include "crowlink/document/document_difference.hpp"
#include "crowlink/document/document_reader.hpp"
#include "form_edit.hpp"
#include "form_submission.hpp"
#include "form_view.hpp"
#include "html.hpp"
#include "http_status.hpp"
#include "request_fields.hpp"

#include <fmt/format.h>

namespace crowlink::internal
{

namespace
{

std::string form_start(const form_session& session, const form_submission& sent,
                       std::string_view step)
{
    return fmt::format(
        R"(<form method="post" action="/forms/{}/{}" )"
        R"(enctype="multipart/form-data">{}{})",
        to_string(sent.kind), step,
        hidden_input("form_token", session.form_token),
        hidden_input("base_version", std::to_string(sent.base.value())));
}

error unknown_form()
{
    return {error_kind::not_found, "", "there is no such form"};
}

} // namespace

void form_handlers::show_error(response_type& response,
                               const form_session& session, const error& fault)
{
    response.status =
        fault.kind == error_kind::not_found ? http_not_found : http_unavailable;
    response.set_content(page(session, "Not possible now",
                              notice("bad", crowlink::to_string(fault))),
                         html_type);
}

void form_handlers::show_form(response_type& response,
                              const form_session& session,
                              const form_submission& sent,
                              const std::string& notices)
{
    const auto body = notices + "<section>" +
                      form_start(session, sent, "preview") +
                      form_fields_html(sent.kind, sent.typed) +
                      R"(<div class="actions"><button>Preview</button></div>)"
                      R"(</form></section><p class="hint">Made from version )" +
                      std::to_string(sent.base.value()) + ".</p>";
    response.set_content(page(session, form_title(sent.kind, sent.typed), body),
                         html_type);
}

void form_handlers::show_errors(response_type& response,
                                const form_session& session,
                                const form_submission& sent,
                                const document_errors& errors)
{
    m_counts.count(count_invalid);
    response.status = http_unprocessable;
    show_form(response, session, sent, error_list(errors));
}

std::string form_handlers::apply_form(const form_session& session,
                                      const form_submission& sent,
                                      std::string_view label) const
{
    return form_start(session, sent, "apply") +
           hidden_input("operation_id", sent.operation.value()) +
           hidden_values(sent.typed) +
           fmt::format("<button>{}</button></form>", label);
}

void form_handlers::show_preview(response_type& response,
                                 const form_session& session,
                                 const form_submission& sent,
                                 const document_difference& difference)
{
    std::string body = "<section>";
    body += difference.empty() ? "<p>This would change nothing.</p>"
                               : difference_table(difference);
    body += R"(<div class="actions">)";
    if (!difference.empty())
    {
        body += apply_form(session, sent, "Apply");
    }
    body += form_start(session, sent, "edit") + hidden_values(sent.typed) +
            R"(<button class="quiet">Back to the form</button></form></div>)"
            "</section>" +
            fmt::format(R"(<p class="hint">Compared with version {}.</p>)",
                        sent.base.value());
    response.set_content(page(session, "What would change", body), html_type);
}

// The operator who lost keeps what was typed, now on top of the newest
// version, and sees what the others did.
void form_handlers::show_conflict(response_type& response,
                                  const form_session& session,
                                  const form_submission& sent)
{
    m_counts.count(count_conflicts);
    const auto current = m_backend.document();
    if (!current)
    {
        return show_error(response, session, current.error());
    }
    auto notices = notice(
        "bad", fmt::format("Conflict: this was made from version {}, but "
                           "version {} is the current one. Nothing of yours "
                           "was applied. What you typed is kept below: check "
                           "it against the change and preview it again.",
                           sent.base.value(), current->version.value()));
    const auto base = m_backend.document_at(sent.base);
    if (base)
    {
        notices +=
            "<section><h2>What changed in between</h2>" +
            difference_table(compare(base->document, current->document)) +
            "</section>";
    }
    auto again = sent;
    again.base = current->version;
    response.status = http_conflict;
    show_form(response, session, again, notices);
}

void form_handlers::show_accepted(response_type& response,
                                  const form_session& session,
                                  config_version version)
{
    m_counts.count(count_accepted);
    const auto body =
        notice("good", fmt::format("Applied as version {}.", version.value())) +
        R"(<p><a class="button" href="/">To the status</a></p>)";
    response.set_content(page(session, "Applied", body), html_type);
}

void form_handlers::show_unknown(response_type& response,
                                 const form_session& session,
                                 const form_submission& sent,
                                 const error& fault)
{
    m_counts.count(count_unavailable);
    const auto body =
        notice("bad", crowlink::to_string(fault)) +
        "<section><p>The change may or may not have taken effect. Sending it "
        "again is safe: it takes effect at most once.</p>"
        R"(<div class="actions">)" +
        apply_form(session, sent, "Send again") + "</div></section>";
    response.status = http_unavailable;
    response.set_header("Retry-After", retry_after_s);
    response.set_content(page(session, "No answer yet", body), html_type);
}

void form_handlers::get_form(const request_type& request,
                             response_type& response,
                             const form_session& session)
{
    const auto kind = parse_form_kind(request.matches[1].str());
    if (!kind)
    {
        return show_error(response, session, unknown_form());
    }
    const auto current = m_backend.document();
    if (!current)
    {
        return show_error(response, session, current.error());
    }
    const auto values =
        initial_values(*kind, current->document, request.get_param_value("id"));
    if (!values)
    {
        return show_error(response, session, values.error());
    }
    show_form(response, session, {*kind, current->version, {}, *values}, "");
}

void form_handlers::post_edit(const request_type& request,
                              response_type& response,
                              const form_session& session)
{
    const auto sent = read_submission(request);
    if (!sent)
    {
        return show_error(response, session, sent.error());
    }
    show_form(response, session, *sent, "");
}

void form_handlers::post_preview(const request_type& request,
                                 response_type& response,
                                 const form_session& session)
{
    auto sent = read_submission(request);
    if (!sent)
    {
        return show_error(response, session, sent.error());
    }
    const auto current = m_backend.document();
    if (!current)
    {
        return show_error(response, session, current.error());
    }
    if (current->version != sent->base)
    {
        return show_conflict(response, session, *sent);
    }
    const auto text = edited_text(sent->kind, current->document, sent->typed);
    if (!text)
    {
        return show_error(response, session, text.error());
    }
    const auto document = read_document(*text);
    if (!document)
    {
        return show_errors(response, session, *sent, document.error());
    }
    sent->operation = mint_operation_id();
    show_preview(response, session, *sent,
                 compare(current->document, *document));
}

// Before the first change there is an empty document of version 0.
result<versioned_document>
form_handlers::base_of(const form_submission& sent) const
{
    if (sent.base == config_version())
    {
        return versioned_document();
    }
    return m_backend.document_at(sent.base);
}

void form_handlers::post_apply(const request_type& request,
                               response_type& response,
                               const form_session& session)
{
    const auto sent = read_submission(request);
    if (!sent)
    {
        return show_error(response, session, sent.error());
    }
    // Not the current document: a resend must yield the same change again.
    const auto base = base_of(*sent);
    if (!base)
    {
        return show_error(response, session, base.error());
    }
    const auto text = edited_text(sent->kind, base->document, sent->typed);
    if (!text)
    {
        return show_error(response, session, text.error());
    }
    const auto document = read_document(*text);
    if (!document)
    {
        return show_errors(response, session, *sent, document.error());
    }
    const auto outcome = m_backend.change(
        {sent->base, sent->operation, session.operator_name, *document});
    if (!outcome && outcome.error().kind != error_kind::unavailable)
    {
        return show_error(response, session, outcome.error());
    }
    if (!outcome)
    {
        return show_unknown(response, session, *sent, outcome.error());
    }
    if (outcome->status == change_status::conflict)
    {
        return show_conflict(response, session, *sent);
    }
    show_accepted(response, session, outcome->version);
}

} // namespace crowlink::internal
