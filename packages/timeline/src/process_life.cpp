#include "crowlink/timeline/process_life.hpp"

namespace crowlink
{

std::string_view to_string(process_role role)
{
    switch (role)
    {
    case process_role::control:
        return "control";
    case process_role::relay:
        return "relay";
    case process_role::balancer:
        return "balancer";
    case process_role::agent:
        return "agent";
    }
    return "unknown";
}

std::string_view to_string(phase reached)
{
    switch (reached)
    {
    case phase::started:
        return "process back";
    case phase::leads:
        return "leader";
    case phase::confirmed:
        return "document confirmed";
    case phase::in_force:
        return "document in force";
    case phase::first_flow:
        return "first flow";
    case phase::first_answer:
        return "first answer";
    }
    return "unknown";
}

} // namespace crowlink
