#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace crowlink::internal
{

// The forms, one a matter.
enum class form_kind : std::uint8_t
{
    // A service's name, protocol and addresses; adds or removes it.
    service,
    // A service's limits, sharing policy and kinds of request.
    sharing,
    // The regions and their places.
    places,
    // The upstreams that take no new flow.
    drains,
    // The whole document as text.
    document,
};

inline constexpr std::array all_form_kinds = {
    form_kind::service, form_kind::sharing, form_kind::places,
    form_kind::drains, form_kind::document};

// The name in paths, such as "sharing".
std::string_view to_string(form_kind kind);
std::optional<form_kind> parse_form_kind(std::string_view text);

// Whether the form is about one service, named by the field `id`.
constexpr bool is_about_service(form_kind kind)
{
    return kind == form_kind::service || kind == form_kind::sharing;
}

} // namespace crowlink::internal
