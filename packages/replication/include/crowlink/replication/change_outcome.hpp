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
    // The change was not based on the current version, which `version` holds.
    conflict,
    // The operation id was used before for a different change.
    operation_reused,
    // This attempt was rejected, for example because there is no leader. It
    // says nothing about earlier attempts of the same operation: if one of them
    // ended as unknown, the operation stays unknown.
    unavailable,
    // The leader was lost before it answered: the change may have been applied.
    // A retry of the same operation gets the answer.
    unknown,
    // The version in force, which `version` holds, is at least the given one.
    // Nothing changed.
    superseded,
};

std::string_view to_string(change_result value);

// The result of a document change.
struct change_outcome
{
    change_result result = change_result::unknown;
    config_version version;
    // Human-readable detail; may be empty.
    std::string message;

    friend auto operator<=>(const change_outcome&,
                            const change_outcome&) = default;
};

// Whether the change took effect, as far as the result tells.
verdict to_verdict(change_result value);

} // namespace crowlink::replication
