#pragma once

#include "api_handlers.hpp"
#include "counters.hpp"
#include "crowlink/base/endpoint.hpp"
#include "crowlink/console/backend_port.hpp"
#include "crowlink/console/console_settings.hpp"
#include "crowlink/console/operator_tokens.hpp"
#include "form_handlers.hpp"
#include "sessions.hpp"

#include <atomic>
#include <functional>
#include <httplib.h>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace crowlink::internal
{

// The HTTP server behind the console: routes, sign-in and counters.
class console_server
{
public:
    console_server(const console_settings& settings,
                   std::unique_ptr<backend_port> backend);
    ~console_server();
    console_server(const console_server&) = delete;
    console_server& operator=(const console_server&) = delete;

    result<endpoint> start();
    void stop();

private:
    using request_type = httplib::Request;
    using response_type = httplib::Response;
    using operator_handler = std::function<void(
        const request_type&, response_type&, const std::string& name)>;
    using page_handler = std::function<void(const request_type&, response_type&,
                                            const form_session& session)>;

    result<endpoint> bind();
    void listen();
    std::unique_ptr<httplib::Server> make_server() const;
    void set_limits();
    void add_open_routes();
    void add_api_routes();
    void add_form_routes();
    void add_sign_in_routes();
    // Wraps a handler so that it runs only for a bearer of a token.
    httplib::Server::Handler for_operator(operator_handler handler);
    // Wraps a handler so that it runs only within a session; of a POST, only
    // with the session's form token.
    httplib::Server::Handler for_session(page_handler handler);
    void sign_in(const request_type& request, response_type& response);
    void on_error(const request_type& request, response_type& response);
    bool uses_tls() const;

    console_settings m_settings;
    std::unique_ptr<backend_port> m_backend;
    counters m_counts;
    operator_tokens m_tokens;
    sessions m_sessions;
    api_handlers m_api;
    form_handlers m_forms;
    std::unique_ptr<httplib::Server> m_server;
    std::atomic<bool> m_ended{false};
    std::thread m_listener;
};

} // namespace crowlink::internal
