#pragma once

#include <cstdint>
#include <string_view>

namespace crowlink
{

// What is known about the effect of a request at an upstream.
enum class verdict : std::uint8_t
{
    // No upstream has started it and none will: it is safe to send it again.
    not_run,
    // It ran to its end, and its answer is the answer to this request.
    ran,
    // It may have started. Only an idempotent request may be sent again.
    may_have_run,
};

// The name used in logs, in answers to operators and in errors.
constexpr std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::ran:
        return "ran";
    case verdict::may_have_run:
        return "may_have_run";
    }
    return "unknown";
}

// The verdict on a whole whose two parts have these verdicts: it is no more
// certain than its least certain part.
constexpr verdict combine(verdict first, verdict second)
{
    return first == second ? first : verdict::may_have_run;
}

} // namespace crowlink
