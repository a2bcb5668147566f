#pragma once

#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace crowlink
{

enum class change_status : std::uint8_t
{
    // Committed by a quorum as `version`, now or by an earlier send.
    accepted,
    // The base is not the current version, which is `version`. Nothing changed.
    conflict,
    // A version as high as the given one, or higher, is in force; `version` is
    // that one. Nothing changed.
    superseded,
};

// What became of a change. Whatever else may happen, such as no quorum, is an
// error of the call.
struct change_outcome
{
    change_status status = change_status::accepted;
    config_version version;

    friend auto operator<=>(const change_outcome&,
                            const change_outcome&) = default;
};

} // namespace crowlink
