#pragma once

#include "crowlink/base/ids.hpp"
#include "crowlink/base/verdict.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace crowlink::replication
{

enum class change_result : std::uint8_t
{
    // Committed; `version` is the new one.
    applied,
    // Another change was first; `version` is the current one.
    conflict,
    // The operation id came before with another change.
    operation_reused,
    // This sending was not taken, for example without a leader. What an earlier
    // sending of the same operation did is not known from that: a client that
    // had an unknown answer before keeps it.
    unavailable,
    // The leader was lost on the way: it may have run. Send the same operation
    // again to learn the answer.
    unknown,
    // A version as high as the given one, or higher, is in force; `version` is
    // that one. Nothing changed.
    superseded,
};

std::string_view to_string(change_result value);

// The answer to a document change.
struct change_outcome
{
    change_result result = change_result::unknown;
    config_version version;
    // For people; empty where the result says all.
    std::string message;

    friend auto operator<=>(const change_outcome&,
                            const change_outcome&) = default;
};

// What the outcome says about the change's effect.
verdict to_verdict(change_result value);

} // namespace crowlink::replication
