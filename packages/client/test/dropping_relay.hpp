#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cstdint>
#include <httplib.h>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace crowlink
{

// Stands before a console on loopback: hands each POST on, waits for its
// answer and then drops the connection without a word.
class dropping_relay
{
public:
    dropping_relay(std::uint16_t target, std::string token)
        : m_target(target), m_token(std::move(token))
    {
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        if (bind(m_listener, generic, size) != 0 || listen(m_listener, 8) != 0)
        {
            throw std::runtime_error("the relay cannot listen");
        }
        getsockname(m_listener, generic, &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    dropping_relay(const dropping_relay&) = delete;
    dropping_relay& operator=(const dropping_relay&) = delete;
    ~dropping_relay()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    std::uint16_t port() const { return m_port; }
    // Requests that were handed on, answered with 200, and dropped.
    int dropped() const { return m_dropped; }

private:
    void serve()
    {
        for (;;)
        {
            const int connection = accept(m_listener, nullptr, nullptr);
            if (connection < 0)
            {
                return;
            }
            hand_on(connection);
            close(connection);
        }
    }

    void hand_on(int connection)
    {
        const auto request = read_request(connection);
        const auto path_start = request.find(' ') + 1;
        const auto path = request.substr(
            path_start, request.find(' ', path_start) - path_start);
        const auto body = request.substr(request.find("\r\n\r\n") + 4);
        httplib::Client client("127.0.0.1", m_target);
        client.set_bearer_token_auth(m_token);
        const auto answer = client.Post(path, body, "application/json");
        m_dropped += answer && answer->status == 200 ? 1 : 0;
    }

    // Reads the head and as much body as it announces.
    static std::string read_request(int connection)
    {
        std::string request;
        char buffer[4096];
        for (;;)
        {
            const auto end = request.find("\r\n\r\n");
            const auto length = request.find("Content-Length: ");
            if (end != std::string::npos && length != std::string::npos &&
                request.size() >=
                    end + 4 + std::stoul(request.substr(length + 16)))
            {
                return request;
            }
            const auto count = read(connection, buffer, sizeof buffer);
            if (count <= 0)
            {
                return request;
            }
            request.append(buffer, static_cast<std::size_t>(count));
        }
    }

    std::uint16_t m_target;
    std::string m_token;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_dropped{0};
    std::thread m_thread;
};

} // namespace crowlink
