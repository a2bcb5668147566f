#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/error.hpp"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace httplib
{
class Server;
} // namespace httplib

namespace crowlink::internal
{

// Serves /health, /ready and /metrics of a daemon without a console. It shows
// nothing secret and changes nothing, so it asks for no sign-in.
class health_server
{
public:
    static result<std::unique_ptr<health_server>>
    start(const endpoint& listen,
          const std::function<std::string()>& render_metrics,
          const std::function<bool()>& is_ready);

    health_server(const health_server&) = delete;
    health_server& operator=(const health_server&) = delete;
    ~health_server();

private:
    health_server();

    std::unique_ptr<httplib::Server> m_server;
    std::thread m_thread;
};

} // namespace crowlink::internal
