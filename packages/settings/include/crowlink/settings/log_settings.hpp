#pragma once

#include "crowlink/base/log_line.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

// What is logged to standard error, and how.
struct log_settings
{
    log_format format = log_format::key_value;
    log_level level = log_level::info;
    // Lines that wait for the stream; a full queue drops and counts.
    std::uint32_t queue_lines = 8192;
    // Routing and placement lines a second that one traffic thread may write;
    // the others are counted and the count is written.
    std::uint32_t decisions_per_second = 1000;

    friend auto operator<=>(const log_settings&, const log_settings&) = default;
};

} // namespace crowlink
