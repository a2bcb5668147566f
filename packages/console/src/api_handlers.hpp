#pragma once

#include "crowlink/console/backend_port.hpp"
#include "document_changes.hpp"

#include <httplib.h>
#include <string>
#include <string_view>

namespace crowlink
{
class document_errors;
}

namespace crowlink::internal
{

class counters;

// The JSON API below /v1. Each function answers one request of an operator who
// has been let in; `author` is the operator's name.
class api_handlers
{
public:
    using request_type = httplib::Request;
    using response_type = httplib::Response;

    api_handlers(backend_port& backend, counters& counts)
        : m_backend(backend), m_counts(counts)
    {
    }

    void get_document(const request_type& request, response_type& response);
    void get_history(const request_type& request, response_type& response);
    void get_status(response_type& response);
    void get_members(response_type& response);
    void get_explain(const request_type& request, response_type& response);
    void post_document(const request_type& request, response_type& response,
                       const std::string& author);
    void post_drain(const request_type& request, response_type& response,
                    const std::string& author, drain_action action);
    void post_members(const request_type& request, response_type& response,
                      const std::string& author);
    void get_evacuations(response_type& response);
    void post_evacuations(const request_type& request, response_type& response,
                          const std::string& author);
    void post_preview(const request_type& request, response_type& response);

private:
    template <class Value>
    void answer(response_type& response, const result<Value>& value);
    void answer_error(response_type& response, const error& fault);
    void answer_errors(response_type& response, const document_errors& errors);
    void answer_conflict(response_type& response,
                         const change_request& request);

    backend_port& m_backend;
    counters& m_counts;
};

// {"error":...,"message":...} with a status.
void set_error(httplib::Response& response, int status, std::string_view name,
               const std::string& message);

// The HTTP status of an error.
int status_of(error_kind kind);

} // namespace crowlink::internal
