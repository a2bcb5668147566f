#pragma once

#include "crowlink/base/endpoint.hpp"
#include "crowlink/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crowlink
{

enum class member_action : std::uint8_t
{
    // `host` at `address` learns, then votes.
    add,
    // `host` leaves.
    remove,
    // `host` at `address` learns, then votes in place of `replaced`.
    replace,
};

std::string_view to_string(member_action action);
std::optional<member_action> parse_member_action(std::string_view text);

// A change of the control hosts; one at a time.
struct member_change
{
    member_action action = member_action::add;
    host_id host;
    // Of add and replace.
    endpoint address;
    // Of replace.
    host_id replaced;
    operation_id operation;
    std::string author;

    friend auto operator<=>(const member_change&,
                            const member_change&) = default;
};

} // namespace crowlink
