#include "crowlink/console/member_change.hpp"
#include "crowlink/console/member_entry.hpp"

namespace crowlink
{

std::string_view to_string(member_role role)
{
    switch (role)
    {
    case member_role::voter:
        return "voter";
    case member_role::learner:
        return "learner";
    case member_role::observer:
        return "observer";
    }
    return "unknown";
}

std::string_view to_string(member_action action)
{
    switch (action)
    {
    case member_action::add:
        return "add";
    case member_action::remove:
        return "remove";
    case member_action::replace:
        return "replace";
    }
    return "unknown";
}

std::optional<member_action> parse_member_action(std::string_view text)
{
    for (const auto action :
         {member_action::add, member_action::remove, member_action::replace})
    {
        if (text == to_string(action))
        {
            return action;
        }
    }
    return std::nullopt;
}

} // namespace crowlink
