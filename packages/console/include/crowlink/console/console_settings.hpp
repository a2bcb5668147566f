#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/time.hpp"

#include <cstddef>
#include <filesystem>

namespace crowlink
{

// Where the console listens, its limits and its files.
struct console_settings
{
    // Port 0 takes any free port.
    endpoint listen;
    // The operators' tokens; see operator_tokens. Without it nobody can sign
    // in and only health and metrics are served.
    std::filesystem::path tokens;
    // TLS is on when both are set; PEM files.
    std::filesystem::path certificate;
    std::filesystem::path private_key;
    // Requests with a longer body are refused, in bytes.
    std::size_t max_body_bytes = 16U << 20U;
    // Threads that answer requests.
    std::size_t threads = 8;
    // Connections that wait for a thread; more are closed and counted.
    std::size_t max_waiting = 256;
    // A request that is not read, or an answer not taken, within this time is
    // cut.
    duration timeout = std::chrono::seconds(10);
    // A sign-in on the forms lasts this long.
    duration session = std::chrono::hours(12);
};

} // namespace crowlink
