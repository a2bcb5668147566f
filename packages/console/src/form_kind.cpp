#include "form_kind.hpp"

namespace crowlink::internal
{

std::string_view to_string(form_kind kind)
{
    switch (kind)
    {
    case form_kind::service:
        return "service";
    case form_kind::sharing:
        return "sharing";
    case form_kind::places:
        return "places";
    case form_kind::drains:
        return "drains";
    case form_kind::document:
        return "document";
    }
    return "unknown";
}

std::optional<form_kind> parse_form_kind(std::string_view text)
{
    for (const auto kind : all_form_kinds)
    {
        if (text == to_string(kind))
        {
            return kind;
        }
    }
    return std::nullopt;
}

} // namespace crowlink::internal
