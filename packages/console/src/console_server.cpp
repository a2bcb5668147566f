#include "console_server.hpp"

#include "bounded_task_queue.hpp"
#include "html.hpp"
#include "http_status.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

namespace crowlink::internal
{

namespace
{

constexpr const char* text_type = "text/plain; charset=utf-8";
constexpr const char* metrics_type = "text/plain; version=0.0.4";
constexpr std::size_t max_requests_a_connection = 100;

std::chrono::microseconds to_microseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

std::string bearer_token(const httplib::Request& request)
{
    constexpr std::string_view prefix = "Bearer ";
    const auto value = request.get_header_value("Authorization");
    return value.starts_with(prefix) ? value.substr(prefix.size()) : "";
}

} // namespace

console_server::console_server(const console_settings& settings,
                               std::unique_ptr<backend_port> backend)
    : m_settings(settings)
    , m_backend(std::move(backend))
    , m_sessions(m_tokens, settings.session)
    , m_api(*m_backend, m_counts)
    , m_forms(*m_backend, m_counts)
{
}

console_server::~console_server()
{
    stop();
}

bool console_server::uses_tls() const
{
    return !m_settings.certificate.empty() && !m_settings.private_key.empty();
}

std::unique_ptr<httplib::Server> console_server::make_server() const
{
    if (uses_tls())
    {
        return std::make_unique<httplib::SSLServer>(
            m_settings.certificate.c_str(), m_settings.private_key.c_str());
    }
    return std::make_unique<httplib::Server>();
}

void console_server::set_limits()
{
    const auto threads = m_settings.threads;
    const auto waiting = m_settings.max_waiting;
    m_server->new_task_queue = [threads, waiting]
    {
        return new bounded_task_queue(threads, waiting);
    };
    // The library's own choice would let two processes share the port.
    m_server->set_socket_options(
        [](socket_t socket)
        {
            const int on = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        });
    m_server->set_payload_max_length(m_settings.max_body_bytes);
    m_server->set_read_timeout(to_microseconds(m_settings.timeout));
    m_server->set_write_timeout(to_microseconds(m_settings.timeout));
    m_server->set_keep_alive_max_count(max_requests_a_connection);
    m_server->set_keep_alive_timeout(1);
    m_server->set_tcp_nodelay(true);
    m_server->set_default_headers(
        {{"Cache-Control", "no-store"},
         {"X-Content-Type-Options", "nosniff"},
         {"Referrer-Policy", "same-origin"},
         {"Content-Security-Policy",
          "default-src 'none'; style-src 'self'; form-action 'self'; "
          "base-uri 'none'; frame-ancestors 'none'"}});
    m_server->set_error_handler(
        [this](const request_type& request, response_type& response)
        { on_error(request, response); });
    m_server->set_exception_handler(
        [](const request_type& /*request*/, response_type& response,
           const std::exception_ptr& /*fault*/)
        {
            set_error(response, http_internal, "internal",
                      "the request could not be answered");
        });
}

void console_server::on_error(const request_type& request,
                              response_type& response)
{
    if (response.status == http_too_large)
    {
        m_counts.count(count_too_large);
    }
    if (!response.body.empty())
    {
        return;
    }
    const auto message = fmt::format("{} {}", response.status, request.path);
    if (request.path.starts_with("/v1/"))
    {
        return set_error(response, response.status, "refused", message);
    }
    response.set_content(error_page(message), html_type);
}

result<endpoint> console_server::bind()
{
    const auto host = m_settings.listen.address.to_string();
    int port = m_settings.listen.port;
    const bool bound = port == 0 ? (port = m_server->bind_to_any_port(host)) > 0
                                 : m_server->bind_to_port(host, port);
    if (!bound)
    {
        return fail(error_kind::unavailable, m_settings.listen.to_string(),
                    "the console cannot listen here");
    }
    endpoint where = m_settings.listen;
    where.port = static_cast<std::uint16_t>(port);
    return where;
}

result<endpoint> console_server::start()
{
    if (m_settings.certificate.empty() != m_settings.private_key.empty())
    {
        return fail(error_kind::invalid, "console",
                    "certificate and private key go together");
    }
    if (!m_settings.tokens.empty())
    {
        auto tokens = operator_tokens::load(m_settings.tokens);
        if (!tokens)
        {
            return tl::unexpected<error>(tokens.error());
        }
        m_tokens = std::move(*tokens);
    }
    m_server = make_server();
    if (!m_server->is_valid())
    {
        return fail(error_kind::invalid, m_settings.certificate.string(),
                    "certificate or private key cannot be used");
    }
    set_limits();
    add_open_routes();
    add_api_routes();
    add_sign_in_routes();
    add_form_routes();
    auto where = bind();
    if (where)
    {
        listen();
    }
    return where;
}

// Returns once the server can be stopped: the library forgets a stop that
// comes before it listens.
void console_server::listen()
{
    m_listener = std::thread(
        [this]
        {
            m_server->listen_after_bind();
            m_ended = true;
        });
    while (!m_server->is_running() && !m_ended)
    {
        std::this_thread::yield();
    }
}

void console_server::stop()
{
    if (m_listener.joinable())
    {
        m_server->stop();
        m_listener.join();
    }
}

httplib::Server::Handler console_server::for_operator(operator_handler handler)
{
    return [this, run = std::move(handler)](const request_type& request,
                                            response_type& response)
    {
        m_counts.count(count_requests);
        const auto name = m_tokens.find(bearer_token(request));
        if (!name)
        {
            m_counts.count(count_unauthorized);
            response.set_header("WWW-Authenticate", "Bearer");
            return set_error(response, http_unauthorized, "unauthorized",
                             "an operator's token is needed");
        }
        run(request, response, *name);
    };
}

void console_server::add_open_routes()
{
    m_server->Get("/health/live",
                  [](const request_type& /*request*/, response_type& response)
                  { response.set_content("live\n", text_type); });
    m_server->Get(
        "/health/ready",
        [this](const request_type& /*request*/, response_type& response)
        {
            const auto state = m_backend->ready();
            response.status = state.ready ? http_ok : http_unavailable;
            response.set_content(state.ready ? "ready\n" : state.reason + "\n",
                                 text_type);
        });
    m_server->Get(
        "/metrics",
        [this](const request_type& /*request*/, response_type& response)
        {
            response.set_content(
                m_backend->render_metrics() + m_counts.render(), metrics_type);
        });
    m_server->Get(
        "/style.css",
        [](const request_type& /*request*/, response_type& response)
        { response.set_content(std::string(style_sheet()), "text/css"); });
}

void console_server::add_api_routes()
{
    using request = request_type;
    using response = response_type;
    using name = std::string;
    const auto get = [this](const char* path, operator_handler handler)
    {
        m_server->Get(path, for_operator(std::move(handler)));
    };
    const auto post = [this](const char* path, operator_handler handler)
    {
        m_server->Post(path, for_operator(std::move(handler)));
    };

    get("/v1/document", [this](const request& in, response& out, const name&)
        { m_api.get_document(in, out); });
    get("/v1/history", [this](const request& in, response& out, const name&)
        { m_api.get_history(in, out); });
    get("/v1/status", [this](const request&, response& out, const name&)
        { m_api.get_status(out); });
    get("/v1/members", [this](const request&, response& out, const name&)
        { m_api.get_members(out); });
    get("/v1/explain", [this](const request& in, response& out, const name&)
        { m_api.get_explain(in, out); });
    post("/v1/document",
         [this](const request& in, response& out, const name& author)
         { m_api.post_document(in, out, author); });
    post("/v1/preview", [this](const request& in, response& out, const name&)
         { m_api.post_preview(in, out); });
    post("/v1/members",
         [this](const request& in, response& out, const name& author)
         { m_api.post_members(in, out, author); });
    get("/v1/evacuations", [this](const request&, response& out, const name&)
        { m_api.get_evacuations(out); });
    post("/v1/evacuations",
         [this](const request& in, response& out, const name& author)
         { m_api.post_evacuations(in, out, author); });
    post("/v1/drain",
         [this](const request& in, response& out, const name& author)
         { m_api.post_drain(in, out, author, drain_action::drain); });
    post("/v1/undrain",
         [this](const request& in, response& out, const name& author)
         { m_api.post_drain(in, out, author, drain_action::undrain); });
}

} // namespace crowlink::internal
