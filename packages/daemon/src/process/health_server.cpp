#include "process/health_server.hpp"

#include <httplib.h>

namespace crowlink::internal
{

namespace
{

constexpr const char* plain_text = "text/plain";
constexpr const char* metrics_text = "text/plain; version=0.0.4";
constexpr int status_unavailable = 503;
constexpr std::size_t most_threads = 2;
// A connection that stays open between calls holds a thread, and the calls of
// others would wait for it.
constexpr std::size_t calls_a_connection = 1;
constexpr std::size_t largest_body = 1024;

} // namespace

health_server::health_server() : m_server(std::make_unique<httplib::Server>())
{
}

result<std::unique_ptr<health_server>>
health_server::start(const endpoint& listen,
                     const std::function<std::string()>& render_metrics,
                     const std::function<bool()>& is_ready)
{
    std::unique_ptr<health_server> made(new health_server());
    httplib::Server& server = *made->m_server;
    server.new_task_queue = []
    {
        return new httplib::ThreadPool(most_threads);
    };
    server.set_payload_max_length(largest_body);
    server.set_keep_alive_max_count(calls_a_connection);
    server.Get("/health", [](const httplib::Request&, httplib::Response& answer)
               { answer.set_content("ok\n", plain_text); });
    server.Get("/ready",
               [is_ready](const httplib::Request&, httplib::Response& answer)
               {
                   const bool ready = is_ready();
                   answer.status = ready ? answer.status : status_unavailable;
                   answer.set_content(ready ? "ready\n" : "not announced\n",
                                      plain_text);
               });
    server.Get("/metrics", [render_metrics](const httplib::Request&,
                                            httplib::Response& answer)
               { answer.set_content(render_metrics(), metrics_text); });
    if (!server.bind_to_port(listen.address.to_string(), listen.port))
    {
        return fail(error_kind::unavailable, listen.to_string(),
                    "cannot be listened on");
    }
    made->m_thread = std::thread([&server] { server.listen_after_bind(); });
    return made;
}

health_server::~health_server()
{
    m_server->stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

} // namespace crowlink::internal
