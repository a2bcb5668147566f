#include "crowlink/base/error.hpp"

namespace crowlink
{

std::string_view to_string(error_kind kind)
{
    switch (kind)
    {
    case error_kind::invalid:
        return "invalid";
    case error_kind::conflict:
        return "conflict";
    case error_kind::not_found:
        return "not_found";
    case error_kind::forbidden:
        return "forbidden";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::storage:
        return "storage";
    }
    return "unknown";
}

std::string to_string(const error& value)
{
    if (value.place.empty())
    {
        return value.message;
    }
    return value.place + ": " + value.message;
}

} // namespace crowlink
