#include "console_server.hpp"
#include "html.hpp"
#include "http_status.hpp"

#include <fmt/format.h>

// Sign-in and the routes of the forms; the other routes are in
// console_server.cpp.
namespace crowlink::internal
{

namespace
{

constexpr std::string_view cookie_name = "crowlink_session=";

std::string session_cookie(const httplib::Request& request)
{
    const auto cookies = request.get_header_value("Cookie");
    const auto start = cookies.find(cookie_name);
    if (start == std::string::npos)
    {
        return "";
    }
    const auto value = cookies.substr(start + cookie_name.size());
    return value.substr(0, value.find(';'));
}

time_point now()
{
    return steady_clock_source().now();
}

void redirect(httplib::Response& response, const char* path)
{
    response.set_redirect(path, http_see_other);
}

} // namespace

httplib::Server::Handler console_server::for_session(page_handler handler)
{
    return [this, run = std::move(handler)](const request_type& request,
                                            response_type& response)
    {
        m_counts.count(count_requests);
        const auto session = session_cookie(request);
        const auto name = m_sessions.find(session, now());
        if (!name)
        {
            m_counts.count(count_unauthorized);
            return redirect(response, "/sign-in");
        }
        const auto sent = request.get_file_value("form_token").content;
        if (request.method == "POST" &&
            !m_sessions.is_form_token(session, sent))
        {
            m_counts.count(count_forged);
            response.status = http_forbidden;
            response.set_content(
                error_page("This form does not belong to your session. Go "
                           "back, reload it and send it again."),
                html_type);
            return;
        }
        run(request, response, {*name, m_sessions.form_token(session)});
    };
}

void console_server::sign_in(const request_type& request,
                             response_type& response)
{
    m_counts.count(count_requests);
    const auto name = m_tokens.find(request.get_file_value("token").content);
    if (!name)
    {
        m_counts.count(count_unauthorized);
        response.status = http_unauthorized;
        response.set_content(sign_in_page("This token is not known."),
                             html_type);
        return;
    }
    const auto* const secure = uses_tls() ? "; Secure" : "";
    response.set_header("Set-Cookie",
                        fmt::format("{}{}; Path=/; HttpOnly; SameSite=Strict{}",
                                    cookie_name, m_sessions.open(*name, now()),
                                    secure));
    redirect(response, "/");
}

void console_server::add_sign_in_routes()
{
    m_server->Get("/sign-in",
                  [](const request_type& /*request*/, response_type& response)
                  { response.set_content(sign_in_page(""), html_type); });
    m_server->Post("/sign-in",
                   [this](const request_type& in, response_type& out)
                   { sign_in(in, out); });
    m_server->Post(
        "/sign-out",
        for_session(
            [](const request_type& /*request*/, response_type& response,
               const form_session& /*session*/)
            {
                response.set_header(
                    "Set-Cookie",
                    fmt::format("{}; Path=/; Max-Age=0", cookie_name));
                redirect(response, "/sign-in");
            }));
}

void console_server::add_form_routes()
{
    using request = request_type;
    using response = response_type;
    using session = form_session;
    const auto get = [this](const char* path, page_handler handler)
    {
        m_server->Get(path, for_session(std::move(handler)));
    };
    const auto post = [this](const char* path, page_handler handler)
    {
        m_server->Post(path, for_session(std::move(handler)));
    };

    get("/", [this](const request&, response& out, const session& who)
        { m_forms.get_status(out, who); });
    get("/services",
        [this](const request& in, response& out, const session& who)
        { m_forms.get_services(in, out, who); });
    get("/history", [this](const request&, response& out, const session& who)
        { m_forms.get_history(out, who); });
    get("/forms/([a-z]+)",
        [this](const request& in, response& out, const session& who)
        { m_forms.get_form(in, out, who); });
    post("/forms/([a-z]+)/edit",
         [this](const request& in, response& out, const session& who)
         { m_forms.post_edit(in, out, who); });
    post("/forms/([a-z]+)/preview",
         [this](const request& in, response& out, const session& who)
         { m_forms.post_preview(in, out, who); });
    post("/forms/([a-z]+)/apply",
         [this](const request& in, response& out, const session& who)
         { m_forms.post_apply(in, out, who); });
}

} // namespace crowlink::internal
