#include "crowlink/client/server_connection.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <httplib.h>
#include <thread>

namespace crowlink
{

namespace
{

constexpr int http_unavailable = 503;
constexpr duration first_pause = std::chrono::milliseconds(50);
constexpr duration longest_pause = std::chrono::seconds(1);

std::chrono::microseconds to_microseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

result<std::string> read_token(const std::filesystem::path& file)
{
    if (file.empty())
    {
        return std::string();
    }
    std::ifstream stream(file);
    std::string token;
    if (!(stream >> token))
    {
        return fail(error_kind::storage, file.string(), "holds no token");
    }
    return token;
}

} // namespace

server_connection::server_connection(const client_options& options,
                                     std::string token)
    : m_options(options), m_token(std::move(token))
{
}

result<server_connection> server_connection::open(const client_options& options)
{
    auto token = read_token(options.token_file);
    if (!token)
    {
        return tl::unexpected<error>(token.error());
    }
    return server_connection(options, std::move(*token));
}

result<http_answer> server_connection::ask(const std::string& server,
                                           const http_call& call,
                                           duration limit) const
{
    httplib::Client client(server);
    if (!client.is_valid())
    {
        return fail(error_kind::unavailable, server, "is no usable URL");
    }
    const auto time = to_microseconds(limit);
    client.set_connection_timeout(time);
    client.set_read_timeout(time);
    client.set_write_timeout(time);
    if (!m_options.authority_file.empty())
    {
        client.set_ca_cert_path(m_options.authority_file.c_str());
    }
    httplib::Headers headers;
    if (!m_token.empty())
    {
        headers.emplace("Authorization", "Bearer " + m_token);
    }
    const auto answer =
        call.body.empty()
            ? client.Get(call.path, headers)
            : client.Post(call.path, headers, call.body, "application/json");
    if (!answer)
    {
        return fail(error_kind::unavailable, server,
                    "gave no answer: " + httplib::to_string(answer.error()));
    }
    if (answer->status == http_unavailable)
    {
        return fail(error_kind::unavailable, server, answer->body);
    }
    return http_answer{answer->status, answer->body};
}

result<http_answer> server_connection::send(const http_call& call)
{
    const steady_clock_source clock;
    const auto end = clock.now() + m_options.timeout;
    // One that hangs must leave time for the others.
    const auto share =
        m_options.timeout / static_cast<int>(m_options.servers.size() + 1);
    auto pause = first_pause;
    for (;;)
    {
        std::string faults;
        for (const auto& server : m_options.servers)
        {
            const auto left = end - clock.now();
            auto answer =
                ask(server, call,
                    std::max<duration>(std::min<duration>(share, left),
                                       std::chrono::milliseconds(1)));
            if (answer)
            {
                return answer;
            }
            faults += (faults.empty() ? "" : "; ") + to_string(answer.error());
        }
        if (clock.now() + pause >= end)
        {
            return fail(error_kind::unavailable, "", faults);
        }
        std::this_thread::sleep_for(pause);
        pause = std::min(2 * pause, longest_pause);
    }
}

} // namespace crowlink
