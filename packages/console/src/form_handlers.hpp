#pragma once

#include "crowlink/console/backend_port.hpp"
#include "form_kind.hpp"
#include "form_session.hpp"
#include "form_values.hpp"

#include <httplib.h>
#include <string>

namespace crowlink
{
class document_difference;
class document_errors;
} // namespace crowlink

namespace crowlink::internal
{

class counters;
struct form_submission;

// The pages for operators. A change takes two steps, both of which carry what
// was typed and the version it was typed into: the preview shows what would
// change, and the page that applies it also carries an operation id, so that
// sending it twice has one effect.
class form_handlers
{
public:
    using request_type = httplib::Request;
    using response_type = httplib::Response;

    form_handlers(backend_port& backend, counters& counts)
        : m_backend(backend), m_counts(counts)
    {
    }

    void get_status(response_type& response, const form_session& session);
    void get_services(const request_type& request, response_type& response,
                      const form_session& session);
    void get_history(response_type& response, const form_session& session);
    // "/forms/KIND?id=N", empty.
    void get_form(const request_type& request, response_type& response,
                  const form_session& session);
    // "/forms/KIND/edit": the form again, with what was typed.
    void post_edit(const request_type& request, response_type& response,
                   const form_session& session);
    void post_preview(const request_type& request, response_type& response,
                      const form_session& session);
    void post_apply(const request_type& request, response_type& response,
                    const form_session& session);

private:
    result<versioned_document> base_of(const form_submission& sent) const;
    void show_error(response_type& response, const form_session& session,
                    const error& fault);
    void show_form(response_type& response, const form_session& session,
                   const form_submission& sent, const std::string& notices);
    void show_errors(response_type& response, const form_session& session,
                     const form_submission& sent,
                     const document_errors& errors);
    void show_preview(response_type& response, const form_session& session,
                      const form_submission& sent,
                      const document_difference& difference);
    void show_conflict(response_type& response, const form_session& session,
                       const form_submission& sent);
    void show_accepted(response_type& response, const form_session& session,
                       config_version version);
    void show_unknown(response_type& response, const form_session& session,
                      const form_submission& sent, const error& fault);
    std::string apply_form(const form_session& session,
                           const form_submission& sent,
                           std::string_view label) const;

    backend_port& m_backend;
    counters& m_counts;
};

} // namespace crowlink::internal
